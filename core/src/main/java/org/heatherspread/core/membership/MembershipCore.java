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
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Runs the membership protocol of one daemon: maintains its local view of all instances, spreads
 * updates to other daemons and decides which instances to probe. Performs no I/O; events are passed
 * to the {@code on} methods and {@link #tick}, and {@link #drainActions} returns the actions to
 * carry out.
 *
 * <p>Updates are pushed at once to a few peers (infect and die), and each daemon compares its state
 * with one peer at a time to repair what pushes missed (after Demers et al., Epidemic algorithms,
 * 1987). Only the instance list or the member itself can declare an instance dead, so that a
 * partition never removes live instances.
 *
 * <p>Deterministic for the given clocks and random source. Not thread-safe.
 */
public final class MembershipCore {
  private static final long ISOLATION_TIMEOUT_MILLIS = 1_500;
  private static final long RECENT_CONTACT_MILLIS = 10_000;
  private static final long CONFIG_FETCH_INTERVAL_MILLIS = 1_000;
  private static final long PEER_SELECTION_INTERVAL_MILLIS = 500;
  private static final long CLEANUP_INTERVAL_MILLIS = 1_000;
  private static final int INDIRECT_PROBE_COUNT = 2;

  private final MembershipSettings settings;
  private final Instance self;
  private final CurrentConfiguration config;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final RandomGenerator random;
  private final Digest digest = new Digest();
  private final MemberTable members = new MemberTable(digest);
  private final EntryTable entries;
  private final UpdateQueue updates;
  private final PeerSet peerSet;
  private final Reconciler reconciler;
  private final ProbeSchedule probeSchedule;
  private final Map<String, Long> lastContactMillis = new HashMap<>();
  private final Map<String, Long> unresponsiveSinceMillis = new HashMap<>();
  private final List<SharedEntry> newEntries = new ArrayList<>();
  private List<MembershipAction> pendingActions = new ArrayList<>();
  private long lastMessageMillis;
  private long nextExchangeMillis;
  private long nextPushMillis;
  private long nextCleanupMillis;
  private long nextConfigFetchMillis;
  private long nextPeerSelectionMillis;
  private long peerSelectionVersion = -1;
  private long instanceListAsOfMillis;

  private MembershipCore(
      Instance self,
      MembershipSettings settings,
      CurrentConfiguration config,
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
    updates = new UpdateQueue(settings, clock.millis());
    peerSet = new PeerSet(self, settings, random);
    reconciler = new Reconciler(digest, members, entries, random);
    probeSchedule = new ProbeSchedule(self, settings, random);
    lastMessageMillis = clock.millis();
    nextExchangeMillis = clock.millis() + random.nextLong(exchangeMillis());
    apply(MemberRecord.of(self, Health.ALIVE));
  }

  /** Creates an instance whose local view contains only the daemon itself. */
  public static MembershipCore create(
      Instance self,
      MembershipSettings settings,
      CurrentConfiguration config,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomGenerator random) {
    return new MembershipCore(self, settings, config, clock, wallClock, random);
  }

  /** Performs the periodic work that is due; must be called at least once per flush interval. */
  public void tick() {
    long now = clock.millis();
    if (members.daemonsVersion() != peerSelectionVersion && now >= nextPeerSelectionMillis) {
      nextPeerSelectionMillis = now + PEER_SELECTION_INTERVAL_MILLIS;
      peerSelectionVersion = members.daemonsVersion();
      peerSet.select(members.all());
    }
    if (now >= nextCleanupMillis) {
      nextCleanupMillis = now + CLEANUP_INTERVAL_MILLIS;
      entries.removeExpired(wallClock.millis());
      members.removeExpiredTombstones(
          wallClock.millis() - settings.tombstoneRetention().toMillis());
      lastContactMillis.values().removeIf(contact -> now - contact > RECENT_CONTACT_MILLIS);
    }
    if (now >= nextExchangeMillis) {
      nextExchangeMillis = now + exchangeMillis() / 2 + random.nextLong(exchangeMillis());
      startExchange();
    }
    if (now >= nextPushMillis) {
      nextPushMillis = now + settings.flushInterval().toMillis();
      pushUpdates(now);
    }
    suspectUnresponsive(now);
    probeEndpoints(now);
  }

  private long exchangeMillis() {
    return settings.exchangeInterval().toMillis();
  }

  private void startExchange() {
    Instance peer = peerSet.nextExchangePeer();
    if (peer != null) {
      pendingActions.add(new MembershipAction.Send(peer, newMessage().root(digest.root()).build()));
    }
  }

  private void pushUpdates(long now) {
    updates.refillBudget(now);
    if (!updates.hasPending(config.get().version())) {
      return;
    }
    List<Instance> targets = peerSet.pushTargets(settings.pushFanOut());
    if (targets.isEmpty()) {
      return;
    }
    UpdateQueue.Batch batch = updates.drain(targets.size(), members, entries, config);
    if (batch.isEmpty()) {
      return;
    }
    ExchangeMessage push =
        newMessage().spread(true).items(batch.members(), batch.entries()).log(batch.log()).build();
    for (Instance target : targets) {
      pendingActions.add(new MembershipAction.Send(target, push));
    }
  }

  private void suspectUnresponsive(long now) {
    if (unresponsiveSinceMillis.isEmpty() || isIsolated(now)) {
      return;
    }
    List<String> overdue = new ArrayList<>();
    for (Map.Entry<String, Long> entry : unresponsiveSinceMillis.entrySet()) {
      if (now - entry.getValue() >= settings.suspectAfter().toMillis()) {
        overdue.add(entry.getKey());
      }
    }
    for (String id : overdue) {
      unresponsiveSinceMillis.remove(id);
      markSuspect(id);
    }
  }

  /**
   * Returns whether this daemon has peers but receives no messages. An isolated daemon suspects no
   * other member, as it cannot tell a fault of its own network from faults of others.
   */
  private boolean isIsolated(long now) {
    return !peerSet.all().isEmpty() && now - lastMessageMillis > ISOLATION_TIMEOUT_MILLIS;
  }

  private void probeEndpoints(long now) {
    probeSchedule.assign(members, now);
    for (String id : probeSchedule.dueProbes(now)) {
      MemberRecord record = members.get(id);
      if (record != null && record.instance().isPresent()) {
        pendingActions.add(new MembershipAction.ProbeEndpoint(record.instance().get()));
      }
    }
  }

  /** Applies a message of another daemon and returns the reply. */
  public ExchangeMessage onRequest(ExchangeMessage request) {
    recordContact(request.senderId());
    applyAll(request);
    fetchIfBehind(request);
    ExchangeMessageBuilder reply = newMessage();
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

  /** Applies the reply of a peer to a message. */
  public void onReply(Instance peer, ExchangeMessage sent, ExchangeMessage reply) {
    recordContact(peer.id());
    applyAll(reply);
    fetchIfBehind(reply);
    if (reply.sums().length > 0) {
      Map<Integer, long[]> buckets = reconciler.differingBuckets(reply.sums());
      if (!buckets.isEmpty()) {
        pendingActions.add(new MembershipAction.Send(peer, newMessage().buckets(buckets).build()));
      }
    }
    if (reply.wants().length > 0) {
      Reconciler.Difference found = reconciler.select(sent.buckets().keySet(), reply.wants());
      ExchangeMessage requestedItems = newMessage().items(found.members, found.entries).build();
      if (requestedItems.carriesItems()) {
        pendingActions.add(new MembershipAction.Send(peer, requestedItems));
      }
    }
  }

  /** Handles a missing reply: retries the peer and requests indirect probes through other peers. */
  public void onPeerUnreachable(Instance peer) {
    MemberRecord record = members.get(peer.id());
    if (record == null || record.health() != Health.ALIVE) {
      return;
    }
    if (unresponsiveSinceMillis.putIfAbsent(peer.id(), clock.millis()) != null) {
      return;
    }
    pendingActions.add(new MembershipAction.Send(peer, newMessage().build()));
    for (Instance via : peerSet.randomPeersExcept(peer.id(), INDIRECT_PROBE_COUNT)) {
      pendingActions.add(new MembershipAction.IndirectProbe(via, peer));
    }
  }

  /** Records that another daemon reached an unresponsive daemon. */
  public void onIndirectProbeAnswered(String id) {
    unresponsiveSinceMillis.remove(id);
  }

  private ExchangeMessageBuilder newMessage() {
    return new ExchangeMessageBuilder(self.id(), self.incarnation(), config.get().version());
  }

  private void recordContact(String id) {
    lastMessageMillis = clock.millis();
    lastContactMillis.put(id, lastMessageMillis);
    unresponsiveSinceMillis.remove(id);
  }

  private void fetchIfBehind(ExchangeMessage message) {
    long now = clock.millis();
    MemberRecord sender = members.get(message.senderId());
    boolean behind = message.configVersion() > config.get().version() || !config.isInitialized();
    if (!behind || now < nextConfigFetchMillis || sender == null || sender.instance().isEmpty()) {
      return;
    }
    nextConfigFetchMillis = now + CONFIG_FETCH_INTERVAL_MILLIS;
    pendingActions.add(new MembershipAction.FetchConfiguration(sender.instance().get()));
  }

  private void applyAll(ExchangeMessage message) {
    for (MemberRecord record : message.members()) {
      apply(record, message.spread());
    }
    for (SharedEntry entry : message.entries()) {
      applyEntry(entry, message.spread());
    }
    if (!message.log().isEmpty()) {
      applyLog(message.log());
    }
  }

  private void applyLog(List<LogEntry> log) {
    config.offer(log);
  }

  private void apply(MemberRecord offered) {
    apply(offered, true);
  }

  private void apply(MemberRecord offered, boolean propagate) {
    if (offered.id().equals(self.id())
        && offered.incarnation() == self.incarnation()
        && offered.health() == Health.SUSPECT) {
      refuteSelf(offered);
      return;
    }
    MemberTable.MergeResult merge = members.merge(offered, wallClock.millis());
    if (merge != MemberTable.MergeResult.NONE && propagate) {
      updates.addMember(offered.id(), merge == MemberTable.MergeResult.DESCRIPTION);
    }
    if (offered.health() == Health.SUSPECT) {
      refuteEndpoint(offered.id());
    }
  }

  private void refuteSelf(MemberRecord suspicion) {
    MemberRecord own = members.get(self.id());
    if (own.health() == Health.ALIVE && suspicion.refutation() >= own.refutation()) {
      apply(suspicion.withInstance(Optional.of(self)).withRefutation());
    }
  }

  private void refuteEndpoint(String id) {
    MemberRecord record = members.get(id);
    long since = clock.millis() - 2 * settings.probeInterval().toMillis();
    if (record.health() == Health.SUSPECT && probeSchedule.answeredSince(id, since)) {
      apply(record.withRefutation());
    }
  }

  private void applyEntry(SharedEntry entry, boolean propagate) {
    if (entries.merge(entry, wallClock.millis())) {
      if (propagate) {
        updates.addEntry(EntryTable.key(entry));
      }
      newEntries.add(entry);
    }
  }

  private void markSuspect(String id) {
    MemberRecord record = members.get(id);
    if (record != null && record.health() == Health.ALIVE) {
      apply(record.withHealth(Health.SUSPECT));
    }
  }

  /**
   * Records an endpoint's answer to a probe.
   *
   * @param incarnation incarnation reported by the endpoint, or 0 if it reports none
   */
  public void onEndpointAnswered(String id, long incarnation) {
    MemberRecord record = members.get(id);
    if (record == null || record.instance().isEmpty()) {
      return;
    }
    lastContactMillis.put(id, clock.millis());
    probeSchedule.recordAnswer(id, clock.millis());
    if (incarnation > record.incarnation()) {
      Instance restarted = record.instance().get().withIncarnation(incarnation);
      apply(MemberRecord.of(restarted, Health.ALIVE));
    } else if (record.health() == Health.SUSPECT) {
      apply(record.withRefutation());
    }
  }

  /** Records that an endpoint did not answer a probe in time. */
  public void onEndpointFailed(String id) {
    if (!isIsolated(clock.millis()) && probeSchedule.recordFailure(id)) {
      markSuspect(id);
    }
  }

  /**
   * Applies the platform's instance list. Lists that are empty or older than the last one are
   * ignored. Unlisted members are declared dead unless this daemon has heard from them recently or
   * learned of them too recently for the list to contain them.
   */
  public void onInstanceList(long asOfMillis, List<Instance> instances) {
    if (asOfMillis < instanceListAsOfMillis || instances.isEmpty()) {
      return;
    }
    // The content of the first list is known to the other daemons; only later changes are pushed.
    final boolean propagate = instanceListAsOfMillis > 0;
    instanceListAsOfMillis = asOfMillis;
    Set<String> listed = new HashSet<>();
    for (Instance instance : instances) {
      listed.add(instance.id());
      applyListed(instance, propagate);
    }
    List<MemberRecord> ended = new ArrayList<>();
    for (MemberRecord record : members.all()) {
      if (!listed.contains(record.id()) && hasEnded(record, asOfMillis)) {
        ended.add(record);
      }
    }
    for (MemberRecord record : ended) {
      apply(record.withHealth(Health.DEAD));
    }
  }

  private void applyListed(Instance instance, boolean propagate) {
    MemberRecord old = members.get(instance.id());
    boolean becameLive =
        old != null
            && old.health() == Health.SUSPECT
            && instance.state() == InstanceState.LIVE
            && old.incarnation() == instance.incarnation()
            && old.instance().map(i -> i.state() == InstanceState.STARTING).orElse(false);
    if (becameLive) {
      apply(MemberRecord.of(instance, Health.ALIVE).refuting(old), propagate);
      return;
    }
    if (old != null && old.incarnation() > instance.incarnation()) {
      applyListedEnd(old, instance);
      return;
    }
    Health health =
        switch (instance.state()) {
          case STARTING -> Health.SUSPECT;
          case LIVE -> Health.ALIVE;
          case LEAVING -> Health.LEAVING;
        };
    apply(MemberRecord.of(instance, health), propagate);
  }

  /**
   * Applies the end of an instance to a later incarnation than the listed one. A daemon counts its
   * own starts, and the end of its instance applies to all of them.
   */
  private void applyListedEnd(MemberRecord old, Instance instance) {
    long endsAt = instance.leavingAtMillis().orElse(0L);
    if (instance.state() == InstanceState.LEAVING && endsAt > wallClock.millis()) {
      apply(old.asLeaving(endsAt));
    }
  }

  private boolean hasEnded(MemberRecord record, long asOfMillis) {
    if (record.health() == Health.DEAD || record.id().equals(self.id())) {
      return false;
    }
    long learnedAt = members.learnedAtMillis(record.id());
    Long contact = lastContactMillis.get(record.id());
    boolean recentContact = contact != null && clock.millis() - contact < RECENT_CONTACT_MILLIS;
    return !recentContact && learnedAt + settings.instanceListLag().toMillis() < asOfMillis;
  }

  /** Applies a reclaim notice. */
  public void onReclaimNotice(String instanceId, long endsAtMillis) {
    MemberRecord record = members.get(instanceId);
    if (record != null && record.health() != Health.DEAD) {
      apply(record.asLeaving(endsAtMillis));
    }
  }

  /** Announces that this daemon is leaving; it never takes new work again. */
  public void announceLeaving(long endsAtMillis) {
    apply(members.get(self.id()).asLeaving(endsAtMillis));
    nextPushMillis = 0;
  }

  /** Announces that this daemon has stopped. */
  public void announceStopped() {
    apply(members.get(self.id()).withHealth(Health.DEAD));
    nextPushMillis = 0;
  }

  /** Publishes a shared entry, replacing the last one of the same topic and key. */
  public void publish(String topic, String key, byte[] value, Duration lifetime) {
    SharedEntry old = entries.get(EntryTable.key(topic, key));
    long now = wallClock.millis();
    long version = Math.max(old == null ? 0 : old.version() + 1, now);
    long expires = now + lifetime.toMillis();
    applyEntry(new SharedEntry(topic, key, version, self.id(), value, expires), true);
  }

  /** Returns and clears the actions requested since the last call. */
  public List<MembershipAction> drainActions() {
    List<MembershipAction> drained = pendingActions;
    pendingActions = new ArrayList<>();
    return drained;
  }

  /** Returns and clears the shared entries that are new since the last call. */
  public List<SharedEntry> drainNewEntries() {
    List<SharedEntry> drained = List.copyOf(newEntries);
    newEntries.clear();
    return drained;
  }

  /** Returns a number that grows with each change of the local view. */
  public long version() {
    return members.version();
  }

  /** Returns a copy of the local view. */
  public MembershipSnapshot snapshot() {
    return members.snapshot();
  }

  /** Returns the health of an instance in the local view; empty if it is unknown. */
  public Optional<Health> health(String id) {
    return Optional.ofNullable(members.get(id)).map(MemberRecord::health);
  }

  /** Returns the unexpired entries of a topic. */
  public List<SharedEntry> entries(String topic) {
    return entries.byTopic(topic, wallClock.millis());
  }

  /** Returns the current peers. */
  public List<Instance> peers() {
    return List.copyOf(peerSet.all());
  }

  /** Returns the number of endpoints that this daemon probes. */
  public int probedEndpointCount() {
    return probeSchedule.size();
  }

  /** Returns the number of shared entries that a full table rejected or evicted. */
  public long evictedEntryCount() {
    return entries.evictedCount();
  }

  /** Returns the time since the last message of another daemon; zero without peers. */
  public Duration timeSinceLastMessage() {
    boolean noPeers = peerSet.all().isEmpty();
    return noPeers ? Duration.ZERO : Duration.ofMillis(clock.millis() - lastMessageMillis);
  }
}
