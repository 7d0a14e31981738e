package org.heatherspread.bench.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.membership.ExchangeMessage;
import org.heatherspread.core.membership.MembershipAction;
import org.heatherspread.core.membership.MembershipCore;
import org.heatherspread.core.membership.MembershipSettings;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.daemon.config.ConfigurationCodec;
import org.heatherspread.daemon.membership.MembershipCodec;

/**
 * Runs many {@link MembershipCore}s in one process on a shared simulated clock, connected by a
 * simulated network with latency, loss and an optional partition. The size of a message is its
 * encoded size plus the framing of an RPC.
 *
 * <p>Deterministic for a seed, except for the measured CPU times. Not thread-safe.
 */
final class SimulatedFleet {
  static final int DOMAIN_COUNT = 34;
  static final int REGION_COUNT = 9;
  private static final int REQUEST_FRAMING_BYTES = 120;
  private static final int REPLY_FRAMING_BYTES = 60;
  private static final long INTRA_DOMAIN_LATENCY_MICROS = 250;
  private static final long INTRA_REGION_LATENCY_MICROS = 1_000;
  private static final long INTER_REGION_LATENCY_MICROS = 30_000;
  private static final long SEND_TIMEOUT_MICROS = 1_000_000;
  private static final long TICK_INTERVAL_MICROS = 50_000;
  private static final double LOSS_PROBABILITY = 0.002;

  private final ManualClock clock = ManualClock.create();
  private final Random random;
  private final MembershipCodec codec = MembershipCodec.create(ConfigurationCodec.shared());
  private final PriorityQueue<Event> eventQueue = new PriorityQueue<>();
  private final List<SimulatedDaemon> daemons = new ArrayList<>();
  private final Map<String, SimulatedDaemon> daemonsById = new HashMap<>();
  private final TrafficCounters traffic = new TrafficCounters();
  private String isolatedRegion = "";
  private long nowMicros;
  private long sequence;

  SimulatedFleet(int daemonCount, int endpointCount, long seed) {
    random = new Random(seed);
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < daemonCount; i++) {
      instances.add(instance("d-" + i, InstanceKind.DAEMON, i));
    }
    for (int i = 0; i < endpointCount; i++) {
      instances.add(instance("e-" + i, InstanceKind.ENGINE, i));
    }
    for (int i = 0; i < daemonCount; i++) {
      SimulatedDaemon daemon = new SimulatedDaemon(instances.get(i), random.nextLong());
      daemons.add(daemon);
      daemonsById.put(daemon.self.id(), daemon);
      schedule(random.nextInt((int) TICK_INTERVAL_MICROS), () -> tick(daemon));
    }
    daemons.forEach(daemon -> daemon.core.onInstanceList(1, instances));
  }

  static Instance instance(String id, InstanceKind kind, int index) {
    int domain = index % DOMAIN_COUNT;
    return new Instance(
        id,
        1,
        kind,
        kind == InstanceKind.DAEMON ? "" : "assistant",
        new FailureDomain("region-" + domain % REGION_COUNT, "domain-" + domain),
        "10.0." + index / 250 + "." + index % 250,
        8_080,
        8_081,
        "gpu-2x",
        Market.RECLAIMABLE,
        1.25,
        InstanceState.LIVE,
        Optional.empty());
  }

  /** Runs for an interval of simulated time. */
  void run(Duration interval) {
    runUntil(nowMicros + interval.toNanos() / 1_000, () -> false);
  }

  /**
   * Runs until all daemons satisfy a predicate. The predicate is evaluated at most every 5 ms of
   * simulated time.
   *
   * @return elapsed simulated milliseconds, or -1 on timeout
   */
  double measureConvergenceMillis(Predicate<SimulatedDaemon> predicate, Duration timeout) {
    long start = nowMicros;
    boolean converged =
        runUntil(start + timeout.toNanos() / 1_000, () -> daemons.stream().allMatch(predicate));
    return converged ? (nowMicros - start) / 1_000.0 : -1;
  }

  private boolean runUntil(long endMicros, StopCondition condition) {
    long nextCheck = nowMicros;
    while (!eventQueue.isEmpty() && eventQueue.peek().atMicros <= endMicros) {
      Event event = eventQueue.poll();
      clock.advance(Duration.ofNanos((event.atMicros - nowMicros) * 1_000));
      nowMicros = event.atMicros;
      event.action.run();
      if (nowMicros >= nextCheck) {
        nextCheck = nowMicros + 5_000;
        if (condition.isMet()) {
          return true;
        }
      }
    }
    return false;
  }

  private void schedule(long delayMicros, Runnable action) {
    eventQueue.add(new Event(nowMicros + delayMicros, sequence++, action));
  }

  private void tick(SimulatedDaemon daemon) {
    long start = System.nanoTime();
    daemon.core.tick();
    traffic.tickNanos += System.nanoTime() - start;
    traffic.ticks++;
    executeActions(daemon);
    schedule(TICK_INTERVAL_MICROS, () -> tick(daemon));
  }

  private void executeActions(SimulatedDaemon daemon) {
    for (MembershipAction action : daemon.core.drainActions()) {
      if (action instanceof MembershipAction.Send send) {
        send(daemon, send);
      } else if (action instanceof MembershipAction.IndirectProbe indirectProbe) {
        probeIndirectly(daemon, indirectProbe);
      } else if (action instanceof MembershipAction.FetchConfiguration fetch) {
        fetchConfiguration(daemon, fetch.from());
      } else if (action instanceof MembershipAction.ProbeEndpoint probe) {
        schedule(1_000, () -> daemon.core.onEndpointAnswered(probe.endpoint().id(), 0));
      }
    }
  }

  private void send(SimulatedDaemon from, MembershipAction.Send send) {
    SimulatedDaemon to = daemonsById.get(send.to().id());
    final long start = System.nanoTime();
    var encoded = codec.encode(send.message());
    traffic.handlingNanos += System.nanoTime() - start;
    traffic.recordMessage(encoded.getSerializedSize() + REQUEST_FRAMING_BYTES);
    if (isLost(from, to)) {
      schedule(SEND_TIMEOUT_MICROS, () -> onSendFailed(from, send));
      return;
    }
    schedule(latencyMicros(from, to), () -> receive(from, to, send, encoded));
  }

  private void onSendFailed(SimulatedDaemon from, MembershipAction.Send send) {
    from.core.onPeerUnreachable(send.to());
    executeActions(from);
  }

  private void receive(
      SimulatedDaemon from,
      SimulatedDaemon to,
      MembershipAction.Send send,
      org.heatherspread.protocol.generated.membership.ExchangeMessage encoded) {
    long start = System.nanoTime();
    ExchangeMessage reply = to.core.onRequest(codec.decode(encoded));
    var encodedReply = codec.encode(reply);
    traffic.handlingNanos += System.nanoTime() - start;
    traffic.exchanges++;
    traffic.recordMessage(encodedReply.getSerializedSize() + REPLY_FRAMING_BYTES);
    executeActions(to);
    if (isLost(from, to)) {
      schedule(SEND_TIMEOUT_MICROS, () -> onSendFailed(from, send));
      return;
    }
    schedule(
        latencyMicros(to, from),
        () -> {
          long begin = System.nanoTime();
          from.core.onReply(send.to(), send.message(), codec.decode(encodedReply));
          traffic.handlingNanos += System.nanoTime() - begin;
          executeActions(from);
        });
  }

  private void probeIndirectly(
      SimulatedDaemon daemon, MembershipAction.IndirectProbe indirectProbe) {
    SimulatedDaemon via = daemonsById.get(indirectProbe.via().id());
    SimulatedDaemon target = daemonsById.get(indirectProbe.target().id());
    traffic.recordMessage(2 * (REQUEST_FRAMING_BYTES + REPLY_FRAMING_BYTES));
    if (isLost(daemon, via) || isLost(via, target)) {
      return;
    }
    schedule(
        2 * latencyMicros(daemon, via) + 2 * latencyMicros(via, target),
        () -> daemon.core.onIndirectProbeAnswered(target.self.id()));
  }

  private void fetchConfiguration(SimulatedDaemon daemon, Instance peer) {
    SimulatedDaemon from = daemonsById.get(peer.id());
    if (isLost(daemon, from)) {
      return;
    }
    schedule(
        2 * latencyMicros(daemon, from),
        () -> {
          traffic.recordMessage(REQUEST_FRAMING_BYTES + REPLY_FRAMING_BYTES + 600);
          daemon.config.offer(from.config.get());
        });
  }

  private boolean isLost(SimulatedDaemon from, SimulatedDaemon to) {
    boolean crossesPartition = from.isInRegion(isolatedRegion) != to.isInRegion(isolatedRegion);
    return crossesPartition || from.stopped || to.stopped || random.nextDouble() < LOSS_PROBABILITY;
  }

  private long latencyMicros(SimulatedDaemon from, SimulatedDaemon to) {
    FailureDomain fromDomain = from.self.domain();
    FailureDomain toDomain = to.self.domain();
    long base = INTER_REGION_LATENCY_MICROS;
    if (fromDomain.equals(toDomain)) {
      base = INTRA_DOMAIN_LATENCY_MICROS;
    } else if (fromDomain.region().equals(toDomain.region())) {
      base = INTRA_REGION_LATENCY_MICROS;
    }
    return base + (long) (base * 0.4 * random.nextDouble());
  }

  List<SimulatedDaemon> daemons() {
    return daemons;
  }

  SimulatedDaemon randomDaemon() {
    return daemons.get(random.nextInt(daemons.size()));
  }

  TrafficCounters traffic() {
    return traffic;
  }

  /** Partitions a region from all others; the empty string removes the partition. */
  void isolateRegion(String region) {
    isolatedRegion = region;
  }

  private interface StopCondition {
    boolean isMet();
  }

  private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(atMicros, other.atMicros);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  /** Counts messages and CPU time of the whole fleet since the last reset. */
  static final class TrafficCounters {
    long messages;
    long bytes;
    long exchanges;
    long handlingNanos;
    long ticks;
    long tickNanos;

    private void recordMessage(int size) {
      messages++;
      bytes += size;
    }

    void reset() {
      messages = 0;
      bytes = 0;
      exchanges = 0;
      handlingNanos = 0;
      ticks = 0;
      tickNanos = 0;
    }
  }

  /** A daemon with its membership state and configuration. */
  final class SimulatedDaemon {
    final Instance self;
    final CurrentConfiguration config = CurrentConfiguration.create();
    final MembershipCore core;
    boolean stopped;

    private SimulatedDaemon(Instance self, long seed) {
      this.self = self;
      core =
          MembershipCore.create(
              self, MembershipSettings.defaults(), config, clock, clock, new Random(seed));
    }

    private boolean isInRegion(String region) {
      return self.domain().region().equals(region);
    }
  }
}
