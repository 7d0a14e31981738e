package org.heatherspread.core.membership;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heatherspread.core.config.ConfigurationInForce;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The membership logic of one daemon: what it believes of all instances, what it tells others, and
 * whom it probes. Events come in through the {@code on} methods and {@link #tick}; what is to be
 * done comes out of {@link #actions}.
 *
 * <p>UpdateQueue is pushed at once to a few links (infect and die), and each daemon compares its
 * state with one link at a time to repair what pushes missed (after Demers et al., Epidemic
 * algorithms, 1987). Nobody but the instance list or the member itself declares an instance dead,
 * so a partition never buries the living.
 *
 * <p>Deterministic for the clocks and the random source given. Not safe for use by several threads.
 */
public final class MembershipCore {
  private static final long ISOLATED_MILLIS = 1_500;
  private static final long HEARD_LATELY_MILLIS = 10_000;
  private static final long FETCH_INTERVAL_MILLIS = 1_000;
  private static final long LINKS_INTERVAL_MILLIS = 500;
  private static final long HOUSEKEEPING_MILLIS = 1_000;
  private static final int INDIRECT_PROBES = 2;

  private final MembershipSettings settings;
  private final Instance self;
  private final ConfigurationInForce config;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final RandomGenerator random;
  private final Digest digest = new Digest();
  private final MemberTable members = new MemberTable(digest);
  private final EntryTable entries;
  private final UpdateQueue news;
  private final PeerSet links;
  private final Reconciler reconciler;
  private final ProbeSchedule endpointProbes;
  private final Map<String, Long> heardMillis = new HashMap<>();
  private final Map<String, Long> doubtedSinceMillis = new HashMap<>();
  private final List<SharedEntry> newEntries = new ArrayList<>();
  private List<MembershipAction> outbox = new ArrayList<>();
  private long lastHeardMillis;
  private long nextExchangeMillis;
  private long nextFlushMillis;
  private long nextHousekeepingMillis;
  private long nextFetchMillis;
  private long nextLinksMillis;
  private long linksVersion = -1;
  private long listAsOfMillis;

  private MembershipCore(
      Instance self,
      MembershipSettings settings,
      ConfigurationInForce config,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.config = config;
    this.clock = clock;
    this.wallClock = wallClock;
    this.random = random;
    entries = new EntryTable(digest, settings.maxSharedEntries());
    news = new UpdateQueue(settings, clock.millis());
    links = new PeerSet(self, settings, random);
    reconciler = new Reconciler(digest, members, entries, random);
    endpointProbes = new ProbeSchedule(self, settings, random);
    lastHeardMillis = clock.millis();
    nextExchangeMillis = clock.millis() + random.nextLong(exchangeMillis());
    take(MemberRecord.of(self, Health.ALIVE));
  }

  /** Creates the logic of a daemon that knows only itself. */
  public static MembershipCore create(
      Instance self,
      MembershipSettings settings,
      ConfigurationInForce config,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomGenerator random) {
    return new MembershipCore(self, settings, config, clock, wallClock, random);
  }

  // ---------------------------------------------------------------------------------------------
  // Time
  // ---------------------------------------------------------------------------------------------

  /** Does what is due; to be called at least once in each flush interval. */
  public void tick() {
    long now = clock.millis();
    if (members.daemonsVersion() != linksVersion && now >= nextLinksMillis) {
      nextLinksMillis = now + LINKS_INTERVAL_MILLIS;
      linksVersion = members.daemonsVersion();
      links.choose(members.all());
    }
    if (now >= nextHousekeepingMillis) {
      nextHousekeepingMillis = now + HOUSEKEEPING_MILLIS;
      entries.forgetExpired(wallClock.millis());
      members.forgetDead(wallClock.millis() - settings.tombstoneRetention().toMillis());
      heardMillis.values().removeIf(heard -> now - heard > HEARD_LATELY_MILLIS);
    }
    if (now >= nextExchangeMillis) {
      nextExchangeMillis = now + exchangeMillis() / 2 + random.nextLong(exchangeMillis());
      exchange();
    }
    if (now >= nextFlushMillis) {
      nextFlushMillis = now + settings.flushInterval().toMillis();
      flush(now);
    }
    judgeDoubts(now);
    probeEndpoints(now);
  }

  private long exchangeMillis() {
    return settings.exchangeInterval().toMillis();
  }

  private void exchange() {
    Instance peer = links.next();
    if (peer != null) {
      outbox.add(new MembershipAction.Send(peer, message().root(digest.root()).build()));
    }
  }

  private void flush(long now) {
    news.refill(now);
    if (!news.waiting(config.get().version())) {
      return;
    }
    List<Instance> targets = links.pushTargets(settings.pushFanOut());
    if (targets.isEmpty()) {
      return;
    }
    UpdateQueue.Batch batch = news.take(targets.size(), members, entries, config);
    if (batch.isEmpty()) {
      return;
    }
    ExchangeMessage push =
        message().spread(true).items(batch.members(), batch.entries()).log(batch.log()).build();
    for (Instance target : targets) {
      outbox.add(new MembershipAction.Send(target, push));
    }
  }

  private void judgeDoubts(long now) {
    if (doubtedSinceMillis.isEmpty() || isolated(now)) {
      return;
    }
    List<String> judged = new ArrayList<>();
    for (Map.Entry<String, Long> doubt : doubtedSinceMillis.entrySet()) {
      if (now - doubt.getValue() >= settings.suspectAfter().toMillis()) {
        judged.add(doubt.getKey());
      }
    }
    for (String id : judged) {
      doubtedSinceMillis.remove(id);
      suspect(id);
    }
  }

  private boolean isolated(long now) {
    return !links.all().isEmpty() && now - lastHeardMillis > ISOLATED_MILLIS;
  }

  private void probeEndpoints(long now) {
    endpointProbes.choose(members, now);
    for (String id : endpointProbes.due(now)) {
      MemberRecord record = members.get(id);
      if (record != null && record.instance().isPresent()) {
        outbox.add(new MembershipAction.ProbeEndpoint(record.instance().get()));
      }
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Messages
  // ---------------------------------------------------------------------------------------------

  /** Takes a message of another daemon over and returns the reply. */
  public ExchangeMessage onRequest(ExchangeMessage request) {
    heard(request.senderId());
    takeAll(request);
    fetchIfBehind(request);
    ExchangeMessageBuilder reply = message();
    reply.log(config.entriesAfter(request.configVersion()).orElse(List.of()));
    if (request.root() != 0 && request.root() != digest.root()) {
      reply.sums(digest.sums());
    }
    if (!request.buckets().isEmpty()) {
      Reconciler.Difference difference = reconciler.compare(request.buckets());
      reply.items(difference.members, difference.entries).wants(difference.wantsArray());
    }
    return reply.build();
  }

  /** Takes the reply of another daemon over. */
  public void onReply(Instance peer, ExchangeMessage sent, ExchangeMessage reply) {
    heard(peer.id());
    takeAll(reply);
    fetchIfBehind(reply);
    if (reply.sums().length > 0) {
      Map<Integer, long[]> buckets = reconciler.differing(reply.sums());
      if (!buckets.isEmpty()) {
        outbox.add(new MembershipAction.Send(peer, message().buckets(buckets).build()));
      }
    }
    if (reply.wants().length > 0) {
      Reconciler.Difference found = reconciler.wanted(sent.buckets().keySet(), reply.wants());
      ExchangeMessage answer = message().items(found.members, found.entries).build();
      if (answer.carriesItems()) {
        outbox.add(new MembershipAction.Send(peer, answer));
      }
    }
  }

  /** Notes that a daemon did not answer in time, and asks others whether it answers them. */
  public void onPeerUnreachable(Instance peer) {
    MemberRecord record = members.get(peer.id());
    if (record == null || record.health() != Health.ALIVE) {
      return;
    }
    if (doubtedSinceMillis.putIfAbsent(peer.id(), clock.millis()) != null) {
      return;
    }
    outbox.add(new MembershipAction.Send(peer, message().build()));
    for (Instance via : links.anyExcept(peer.id(), INDIRECT_PROBES)) {
      outbox.add(new MembershipAction.IndirectProbe(via, peer));
    }
  }

  /** Notes that another daemon reached a daemon in doubt. */
  public void onIndirectProbeAnswered(String id) {
    doubtedSinceMillis.remove(id);
  }

  private ExchangeMessageBuilder message() {
    return new ExchangeMessageBuilder(self.id(), self.incarnation(), config.get().version());
  }

  private void heard(String id) {
    lastHeardMillis = clock.millis();
    heardMillis.put(id, lastHeardMillis);
    doubtedSinceMillis.remove(id);
  }

  private void fetchIfBehind(ExchangeMessage message) {
    long now = clock.millis();
    MemberRecord sender = members.get(message.senderId());
    boolean behind = message.configVersion() > config.get().version() || !config.known();
    if (!behind || now < nextFetchMillis || sender == null || sender.instance().isEmpty()) {
      return;
    }
    nextFetchMillis = now + FETCH_INTERVAL_MILLIS;
    outbox.add(new MembershipAction.FetchConfiguration(sender.instance().get()));
  }

  // ---------------------------------------------------------------------------------------------
  // Taking over
  // ---------------------------------------------------------------------------------------------

  private void takeAll(ExchangeMessage message) {
    for (MemberRecord record : message.members()) {
      take(record, message.spread());
    }
    for (SharedEntry entry : message.entries()) {
      takeEntry(entry, message.spread());
    }
    if (!message.log().isEmpty()) {
      takeLog(message.log());
    }
  }

  private void takeLog(List<LogEntry> log) {
    config.offer(log);
  }

  private void take(MemberRecord offered) {
    take(offered, true);
  }

  private void take(MemberRecord offered, boolean spread) {
    if (offered.id().equals(self.id())
        && offered.incarnation() == self.incarnation()
        && offered.health() == Health.SUSPECT) {
      refuteSelf(offered);
      return;
    }
    MemberTable.MergeResult merge = members.merge(offered, wallClock.millis());
    if (merge != MemberTable.MergeResult.NONE && spread) {
      news.member(offered.id(), merge == MemberTable.MergeResult.DESCRIPTION);
    }
    if (offered.health() == Health.SUSPECT) {
      refuteEndpoint(offered.id());
    }
  }

  private void refuteSelf(MemberRecord suspicion) {
    MemberRecord own = members.get(self.id());
    if (own.health() == Health.ALIVE && suspicion.refutation() >= own.refutation()) {
      take(suspicion.withInstance(Optional.of(self)).withRefutation());
    }
  }

  private void refuteEndpoint(String id) {
    MemberRecord record = members.get(id);
    long since = clock.millis() - 2 * settings.probeInterval().toMillis();
    if (record.health() == Health.SUSPECT && endpointProbes.answeredSince(id, since)) {
      take(record.withRefutation());
    }
  }

  private void takeEntry(SharedEntry entry, boolean spread) {
    if (entries.merge(entry, wallClock.millis())) {
      if (spread) {
        news.entry(EntryTable.key(entry));
      }
      newEntries.add(entry);
    }
  }

  private void suspect(String id) {
    MemberRecord record = members.get(id);
    if (record != null && record.health() == Health.ALIVE) {
      take(record.withHealth(Health.SUSPECT));
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Endpoints
  // ---------------------------------------------------------------------------------------------

  /**
   * Notes an endpoint's answer to a probe.
   *
   * @param incarnation what the endpoint says, or 0 if it does not say
   */
  public void onEndpointAnswered(String id, long incarnation) {
    MemberRecord record = members.get(id);
    if (record == null || record.instance().isEmpty()) {
      return;
    }
    heardMillis.put(id, clock.millis());
    endpointProbes.answered(id, clock.millis());
    if (incarnation > record.incarnation()) {
      Instance restarted = record.instance().get().withIncarnation(incarnation);
      take(MemberRecord.of(restarted, Health.ALIVE));
    } else if (record.health() == Health.SUSPECT) {
      take(record.withRefutation());
    }
  }

  /** Notes that an endpoint did not answer a probe in time. */
  public void onEndpointFailed(String id) {
    if (!isolated(clock.millis()) && endpointProbes.failed(id)) {
      suspect(id);
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Platform
  // ---------------------------------------------------------------------------------------------

  /** Takes the platform's instance list over. */
  public void onInstanceList(long asOfMillis, List<Instance> instances) {
    if (asOfMillis < listAsOfMillis || instances.isEmpty()) {
      return;
    }
    // What the first list tells, the others know; only later changes are news.
    final boolean spread = listAsOfMillis > 0;
    listAsOfMillis = asOfMillis;
    Set<String> listed = new HashSet<>();
    for (Instance instance : instances) {
      listed.add(instance.id());
      takeListed(instance, spread);
    }
    List<MemberRecord> gone = new ArrayList<>();
    for (MemberRecord record : members.all()) {
      if (!listed.contains(record.id()) && isGone(record, asOfMillis)) {
        gone.add(record);
      }
    }
    for (MemberRecord record : gone) {
      take(record.withHealth(Health.DEAD));
    }
  }

  private void takeListed(Instance instance, boolean spread) {
    MemberRecord old = members.get(instance.id());
    boolean started =
        old != null
            && old.health() == Health.SUSPECT
            && instance.state() == InstanceState.LIVE
            && old.incarnation() == instance.incarnation()
            && old.instance().map(i -> i.state() == InstanceState.STARTING).orElse(false);
    if (started) {
      take(MemberRecord.of(instance, Health.ALIVE).refuting(old), spread);
      return;
    }
    if (old != null && old.incarnation() > instance.incarnation()) {
      takeListedEnd(old, instance);
      return;
    }
    Health health =
        switch (instance.state()) {
          case STARTING -> Health.SUSPECT;
          case LIVE -> Health.ALIVE;
          case LEAVING -> Health.LEAVING;
        };
    take(MemberRecord.of(instance, health), spread);
  }

  /** A daemon counts its starts itself; the end of its instance holds for all of them. */
  private void takeListedEnd(MemberRecord old, Instance instance) {
    long endsAt = instance.leavingAtMillis().orElse(0L);
    if (instance.state() == InstanceState.LEAVING && endsAt > wallClock.millis()) {
      take(old.asLeaving(endsAt));
    }
  }

  private boolean isGone(MemberRecord record, long asOfMillis) {
    if (record.health() == Health.DEAD || record.id().equals(self.id())) {
      return false;
    }
    long learnt = members.learntAtMillis(record.id());
    Long heard = heardMillis.get(record.id());
    boolean lately = heard != null && clock.millis() - heard < HEARD_LATELY_MILLIS;
    return !lately && learnt + settings.instanceListLag().toMillis() < asOfMillis;
  }

  /** Takes a reclaim notice over. */
  public void onReclaimNotice(String instanceId, long endsAtMillis) {
    MemberRecord record = members.get(instanceId);
    if (record != null && record.health() != Health.DEAD) {
      take(record.asLeaving(endsAtMillis));
    }
  }

  // ---------------------------------------------------------------------------------------------
  // This daemon
  // ---------------------------------------------------------------------------------------------

  /** Tells all that this daemon is leaving; it never takes new work again. */
  public void announceLeaving(long endsAtMillis) {
    take(members.get(self.id()).asLeaving(endsAtMillis));
    nextFlushMillis = 0;
  }

  /** Tells all that this daemon has stopped. */
  public void announceStopped() {
    take(members.get(self.id()).withHealth(Health.DEAD));
    nextFlushMillis = 0;
  }

  /** Publishes a shared entry of this daemon. */
  public void publish(String topic, String key, byte[] value, Duration lifetime) {
    SharedEntry old = entries.get(EntryTable.key(topic, key));
    long now = wallClock.millis();
    long version = Math.max(old == null ? 0 : old.version() + 1, now);
    long expires = now + lifetime.toMillis();
    takeEntry(new SharedEntry(topic, key, version, self.id(), value, expires), true);
  }

  // ---------------------------------------------------------------------------------------------
  // Results
  // ---------------------------------------------------------------------------------------------

  /** Returns what is to be done since the last call. */
  public List<MembershipAction> drainActions() {
    List<MembershipAction> taken = outbox;
    outbox = new ArrayList<>();
    return taken;
  }

  /** Returns the shared entries that are new since the last call. */
  public List<SharedEntry> drainNewEntries() {
    List<SharedEntry> taken = List.copyOf(newEntries);
    newEntries.clear();
    return taken;
  }

  /** Returns a number that grows with each change of the belief. */
  public long version() {
    return members.version();
  }

  /** Returns the belief of the moment. */
  public MembershipSnapshot snapshot() {
    return members.snapshot();
  }

  /** Returns what is believed of one instance. */
  public Optional<Health> health(String id) {
    return Optional.ofNullable(members.get(id)).map(MemberRecord::health);
  }

  /** Returns the live entries of a topic. */
  public List<SharedEntry> entries(String topic) {
    return entries.topic(topic, wallClock.millis());
  }

  /** Returns the links of the moment. */
  public List<Instance> peers() {
    return List.copyOf(links.all());
  }

  /** Returns how many endpoints this daemon probes. */
  public int probedEndpointCount() {
    return endpointProbes.count();
  }

  /** Returns how often a full table refused or dropped a shared entry. */
  public long evictedEntryCount() {
    return entries.evicted();
  }

  /** Returns for how long nobody else was heard; zero for a daemon that knows no other. */
  public Duration timeSinceLastMessage() {
    boolean alone = links.all().isEmpty();
    return alone ? Duration.ZERO : Duration.ofMillis(clock.millis() - lastHeardMillis);
  }
}
