package org.heatherspread.node.peer;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DomainReaderSelector;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Batch;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.fleet.LoadAggregator;
import org.heatherspread.core.fleet.SilenceDetector;
import org.heatherspread.core.placement.CachedPrefix;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges endpoint loads and facts between daemons more often than daemon reports do. Each daemon
 * sends its own to the reader of its group, a failure domain or several small ones together, and
 * receives the sum of all other daemons' loads and their new facts; readers request those of each
 * other's groups.
 *
 * <p>Since every daemon takes part, the exchange also tells which daemons have fallen silent, long
 * before their reports expire in a large fleet: readers find it of the daemons of their groups and
 * of each other, the others of their readers. Confined to the event loop.
 */
public final class LoadExchange {
  private static final Logger log = LoggerFactory.getLogger(LoadExchange.class);

  /** Time in which urgent facts are collected into one exchange. */
  private static final long COLLECT_MILLIS = 20;

  /** Maximum number of daemons that publish cached prefixes with each exchange. */
  private static final int PREFIX_PUBLISHERS = 64;

  /** Time between two exchanges, a few times the duration of a prefill. */
  private static final long INTERVAL_MILLIS = 250;

  /**
   * Time after which the loads of a silent source are discarded, and after which the loads of the
   * reports are used again; several exchanges.
   */
  private static final long EXPIRY_MILLIS = 1_200;

  /** Time after which a daemon that takes no part in exchanges is silent; many exchanges. */
  private static final long SILENCE_MILLIS = 2_500;

  private final RelayState state;
  private final String self;
  private final LoadClient client;
  private final Supplier<DomainReaders> readers;
  private final LoadAggregator memberLoads = LoadAggregator.create(EXPIRY_MILLIS);
  private final LoadAggregator otherDomainLoads = LoadAggregator.create(EXPIRY_MILLIS);
  private final SilenceDetector silence = SilenceDetector.create(SILENCE_MILLIS, EXPIRY_MILLIS);
  private final Map<String, ReceivedSilence> receivedSilence = new HashMap<>();
  private final SharedFacts facts;
  private final Map<String, Position> receivedPositions = new HashMap<>();
  private final Map<String, Position> sentPositions = new HashMap<>();
  private boolean exchangeScheduled;
  private boolean idle = true;
  private boolean skipped;
  private long exchangeCount;
  private long lastExchangeMillis = Long.MIN_VALUE;
  private Set<String> loggedSilence = Set.of();
  private boolean failing;

  /** Client for the exchange with other daemons. */
  interface LoadClient {
    /** Sends this daemon's loads to a reader; returns those of all other daemons. */
    CompletableFuture<ExchangedLoads> exchangeLoads(String reader, MemberUpdate update);

    /**
     * Returns the loads and facts of the group of another reader.
     *
     * @param received position up to which its facts were received
     */
    CompletableFuture<ExchangedLoads> fetchDomainLoads(String reader, Position received);
  }

  /** Silent daemons according to a reader. */
  private record ReceivedSilence(Set<String> daemons, long receivedMillis) {}

  /**
   * The daemons through which loads are exchanged.
   *
   * @param own reader of this daemon's group, empty if there is none
   * @param others readers of the other groups
   * @param members daemons of this daemon's group
   */
  public record DomainReaders(String own, List<String> others, Set<String> members) {
    /** No daemons that exchange loads. */
    public static final DomainReaders NONE = new DomainReaders("", List.of(), Set.of());

    /** Group of the daemons whose domains have no reader; no domain has this name. */
    private static final String JOINT_GROUP = "";

    /**
     * Groups the daemons of each failure domain that has a reader, and all others together.
     *
     * @param reports latest report of each live daemon
     * @param readersByDomain daemons that read the store for their failure domains
     * @param domain failure domain of this daemon
     */
    public static DomainReaders of(
        Collection<DaemonReport> reports, Map<String, String> readersByDomain, String domain) {
      String ownGroup = groupOf(domain, readersByDomain);
      Set<String> members = new TreeSet<>();
      List<DaemonReport> joint = new ArrayList<>();
      for (DaemonReport report : reports) {
        if (report.peerAddress().isEmpty()) {
          continue;
        }
        String group = groupOf(report.domain(), readersByDomain);
        if (group.equals(JOINT_GROUP)) {
          joint.add(report);
        }
        if (group.equals(ownGroup)) {
          members.add(report.daemon());
        }
      }
      Map<String, String> readers = new HashMap<>(readersByDomain);
      DomainReaderSelector.selectOf(joint)
          .ifPresent(reader -> readers.put(JOINT_GROUP, reader.daemon()));
      String own = readers.remove(ownGroup);
      return own == null ? NONE : new DomainReaders(own, List.copyOf(readers.values()), members);
    }

    private static String groupOf(String domain, Map<String, String> readersByDomain) {
      return readersByDomain.containsKey(domain) ? domain : JOINT_GROUP;
    }
  }

  LoadExchange(
      RelayState state,
      String self,
      LoadClient client,
      SharedFacts facts,
      Supplier<DomainReaders> readers) {
    this.state = state;
    this.self = self;
    this.client = client;
    this.facts = facts;
    this.readers = readers;
    facts.onUrgentFact(this::exchangeSoon);
    facts.onFact(
        FactKinds.CACHED_PREFIXES,
        new TypeReference<List<CachedPrefix>>() {},
        (daemon, prefixes, ageMillis) -> prefixes.forEach(state.endpoints()::recordPeerPrefix));
  }

  /** Creates an exchange over a peer client; nothing is exchanged before {@link #start}. */
  public static LoadExchange create(
      RelayState state,
      String self,
      PeerClient client,
      SharedFacts facts,
      Supplier<DomainReaders> readers) {
    return new LoadExchange(state, self, client, facts, readers);
  }

  /** Exchanges facts that cannot wait, together with those that follow within a moment. */
  private void exchangeSoon() {
    if (!exchangeScheduled) {
      exchangeScheduled = true;
      state.loop().schedule(this::runUrgently, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void runUrgently() {
    exchangeScheduled = false;
    runNow();
  }

  /** Starts the exchange. */
  public void start() {
    state
        .loop()
        .scheduleWithFixedDelay(
            this::runScheduled, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns whether loads were exchanged recently; if so, the loads in reports are not needed. */
  public boolean isFresh() {
    return lastExchangeMillis != Long.MIN_VALUE && now() - lastExchangeMillis <= EXPIRY_MILLIS;
  }

  /**
   * Returns the daemons that have taken no part in exchanges for some time, as far as this daemon
   * knows.
   */
  public Set<String> silentDaemons() {
    receivedSilence.values().removeIf(received -> now() - received.receivedMillis > EXPIRY_MILLIS);
    Set<String> silent = new TreeSet<>(silence.silent(now()));
    receivedSilence.values().forEach(received -> silent.addAll(received.daemons));
    silent.remove(self);
    return silent;
  }

  /** Records the loads of a daemon of this group; returns those of all other daemons. */
  ExchangedLoads recordMemberLoads(MemberUpdate update) {
    String daemon = update.daemon();
    silence.recordHeard(daemon, now());
    memberLoads.update(daemon, update.loads(), now());
    facts.receive(update.facts(), true);
    Map<String, EndpointLoad> others = memberLoads.sumExcluding(daemon, now());
    LoadAggregator.addAll(others, ownLoads());
    LoadAggregator.addAll(others, otherDomainLoads.sum(now()));
    return new ExchangedLoads(
        others, silentDaemons(), facts.othersAfter(update.received(), daemon));
  }

  /** Returns the loads of this daemon and of the daemons of its group that sent it theirs. */
  ExchangedLoads domainLoads(Position received) {
    Map<String, EndpointLoad> sum = memberLoads.sum(now());
    LoadAggregator.addAll(sum, ownLoads());
    Set<String> silent = silence.silent(now());
    silent.retainAll(readers.get().members());
    silent.addAll(silence.gone(now()));
    return new ExchangedLoads(sum, silent, facts.ofGroupAfter(received));
  }

  /**
   * Runs every second scheduled exchange while this daemon has no requests in progress: it adds
   * nothing to the loads of others and places no request by theirs.
   */
  void runScheduled() {
    boolean wasIdle = idle;
    idle = ownLoads().isEmpty();
    // The first exchange without requests takes back the loads that were sent before.
    skipped = idle && wasIdle && !skipped;
    if (!skipped) {
      runNow();
    }
  }

  private void runNow() {
    try {
      exchange();
      logSilence();
    } catch (RuntimeException e) {
      // An exception would cancel the scheduled task; the next exchange is independent of this one.
      log.atWarn().setCause(e).log("loads not exchanged");
    }
  }

  void exchange() {
    DomainReaders current = readers.get();
    silence.expect(partners(current), now());
    if (current.own().isEmpty()) {
      return;
    }
    publishNewPrefixes();
    if (!current.own().equals(self)) {
      sendTo(current.own());
      return;
    }
    for (String reader : current.others()) {
      client
          .fetchDomainLoads(reader, receivedPosition(reader))
          .whenComplete(
              (received, failure) -> {
                onReceived(reader, received, failure);
                if (failure == null) {
                  otherDomainLoads.update(reader, received.loads(), now());
                }
              });
    }
    Map<String, EndpointLoad> others = memberLoads.sum(now());
    LoadAggregator.addAll(others, otherDomainLoads.sum(now()));
    applyLoads(others);
  }

  private void sendTo(String reader) {
    Batch own = facts.ownAfter(sentPositions.getOrDefault(reader, Position.START));
    MemberUpdate update = new MemberUpdate(self, ownLoads(), own, receivedPosition(reader));
    client
        .exchangeLoads(reader, update)
        .whenComplete(
            (received, failure) -> {
              onReceived(reader, received, failure);
              if (failure == null) {
                sentPositions.put(reader, own.end());
                applyLoads(received.loads());
              }
            });
  }

  private Position receivedPosition(String reader) {
    return receivedPositions.getOrDefault(reader, Position.START);
  }

  /**
   * Lets other daemons know which shared prefixes endpoints have cached for this one, less often in
   * larger fleets, so that the prefixes of all daemons displace no other facts.
   */
  private void publishNewPrefixes() {
    exchangeCount++;
    if (exchangeCount % Math.max(1, state.daemonCount() / PREFIX_PUBLISHERS) != 0) {
      return;
    }
    List<CachedPrefix> prefixes = state.endpoints().takeNewPrefixes();
    if (!prefixes.isEmpty()) {
      facts.publish(FactKinds.CACHED_PREFIXES, prefixes);
    }
  }

  private void logSilence() {
    Set<String> silent = silentDaemons();
    if (!silent.equals(loggedSilence)) {
      loggedSilence = silent;
      log.atInfo().addKeyValue("daemons", String.join(" ", silent)).log("silent daemons changed");
    }
  }

  /** Returns the daemons with which this daemon exchanges loads. */
  private Set<String> partners(DomainReaders current) {
    if (!current.own().equals(self)) {
      return current.own().isEmpty() ? Set.of() : Set.of(current.own());
    }
    Set<String> partners = new HashSet<>(current.members());
    partners.addAll(current.others());
    partners.remove(self);
    return partners;
  }

  private void onReceived(String reader, ExchangedLoads received, Throwable failure) {
    updateFailing(failure);
    if (failure == null) {
      silence.recordHeard(reader, now());
      receivedSilence.put(reader, new ReceivedSilence(received.silentDaemons(), now()));
      receivedPositions.put(reader, received.facts().end());
      facts.receive(received.facts(), false);
    }
  }

  private Map<String, EndpointLoad> ownLoads() {
    return state.endpoints().ownLoadsWithOutcomes(now());
  }

  private void applyLoads(Map<String, EndpointLoad> others) {
    lastExchangeMillis = now();
    state.endpoints().updatePeerLoads(others, now());
  }

  private void updateFailing(Throwable failure) {
    if (failing == (failure != null)) {
      return;
    }
    failing = failure != null;
    log.atInfo()
        .addKeyValue("heard", !failing)
        .addKeyValue("reason", failing ? String.valueOf(failure.getMessage()) : "")
        .log("loads between daemons");
  }

  private long now() {
    return state.clock().millis();
  }
}
