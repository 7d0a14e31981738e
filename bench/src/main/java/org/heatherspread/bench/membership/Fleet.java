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
 * Many instances of the membership logic in one process, with one clock and a network of latencies,
 * losses and a partition. Messages are counted as their encoded bytes plus the framing of an RPC.
 *
 * <p>Deterministic for a seed; confined to one thread.
 */
final class Fleet {
  static final int DOMAINS = 34;
  static final int REGIONS = 9;
  private static final int REQUEST_FRAMING_BYTES = 120;
  private static final int REPLY_FRAMING_BYTES = 60;
  private static final long DOMAIN_LATENCY_MICROS = 250;
  private static final long REGION_LATENCY_MICROS = 1_000;
  private static final long FAR_LATENCY_MICROS = 30_000;
  private static final long TIMEOUT_MICROS = 1_000_000;
  private static final long TICK_MICROS = 50_000;
  private static final double LOSS = 0.002;

  private final ManualClock clock = ManualClock.create();
  private final Random random;
  private final MembershipCodec codec = MembershipCodec.create(ConfigurationCodec.shared());
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byId = new HashMap<>();
  private final Traffic traffic = new Traffic();
  private String cutRegion = "";
  private long nowMicros;
  private long sequence;

  Fleet(int daemons, int endpoints, long seed) {
    random = new Random(seed);
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      instances.add(instance("d-" + i, InstanceKind.DAEMON, i));
    }
    for (int i = 0; i < endpoints; i++) {
      instances.add(instance("e-" + i, InstanceKind.ENGINE, i));
    }
    for (int i = 0; i < daemons; i++) {
      Node node = new Node(instances.get(i), random.nextLong());
      nodes.add(node);
      byId.put(node.self.id(), node);
      at(random.nextInt((int) TICK_MICROS), () -> tick(node));
    }
    nodes.forEach(node -> node.core.onInstanceList(1, instances));
  }

  static Instance instance(String id, InstanceKind kind, int index) {
    int domain = index % DOMAINS;
    return new Instance(
        id,
        1,
        kind,
        kind == InstanceKind.DAEMON ? "" : "assistant",
        new FailureDomain("region-" + domain % REGIONS, "domain-" + domain),
        "10.0." + index / 250 + "." + index % 250,
        8_080,
        8_081,
        "gpu-2x",
        Market.RECLAIMABLE,
        1.25,
        InstanceState.LIVE,
        Optional.empty());
  }

  // ---------------------------------------------------------------------------------------------
  // Running
  // ---------------------------------------------------------------------------------------------

  /** Runs for an interval of simulated time. */
  void run(Duration interval) {
    runUntil(nowMicros + interval.toNanos() / 1_000, () -> false);
  }

  /** Runs until all nodes fulfil a condition; returns the milliseconds it took, or -1. */
  double spreadMillis(Predicate<Node> reached, Duration bound) {
    long start = nowMicros;
    boolean all = runUntil(start + bound.toNanos() / 1_000, () -> nodes.stream().allMatch(reached));
    return all ? (nowMicros - start) / 1_000.0 : -1;
  }

  private boolean runUntil(long endMicros, Check check) {
    long nextCheck = nowMicros;
    while (!queue.isEmpty() && queue.peek().atMicros <= endMicros) {
      Event event = queue.poll();
      clock.advance(Duration.ofNanos((event.atMicros - nowMicros) * 1_000));
      nowMicros = event.atMicros;
      event.work.run();
      if (nowMicros >= nextCheck) {
        nextCheck = nowMicros + 5_000;
        if (check.holds()) {
          return true;
        }
      }
    }
    return false;
  }

  private void at(long delayMicros, Runnable work) {
    queue.add(new Event(nowMicros + delayMicros, sequence++, work));
  }

  private void tick(Node node) {
    long start = System.nanoTime();
    node.core.tick();
    traffic.tickNanos += System.nanoTime() - start;
    traffic.ticks++;
    act(node);
    at(TICK_MICROS, () -> tick(node));
  }

  private void act(Node node) {
    for (MembershipAction action : node.core.drainActions()) {
      if (action instanceof MembershipAction.Send send) {
        send(node, send);
      } else if (action instanceof MembershipAction.IndirectProbe ask) {
        askProbe(node, ask);
      } else if (action instanceof MembershipAction.FetchConfiguration fetch) {
        fetch(node, fetch.from());
      } else if (action instanceof MembershipAction.ProbeEndpoint probe) {
        at(1_000, () -> node.core.onEndpointAnswered(probe.endpoint().id(), 0));
      }
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Network
  // ---------------------------------------------------------------------------------------------

  private void send(Node from, MembershipAction.Send send) {
    Node to = byId.get(send.to().id());
    final long start = System.nanoTime();
    var encoded = codec.encode(send.message());
    traffic.handlingNanos += System.nanoTime() - start;
    traffic.sent(encoded.getSerializedSize() + REQUEST_FRAMING_BYTES);
    if (lost(from, to)) {
      at(TIMEOUT_MICROS, () -> failed(from, send));
      return;
    }
    at(latency(from, to), () -> receive(from, to, send, encoded));
  }

  private void failed(Node from, MembershipAction.Send send) {
    from.core.onPeerUnreachable(send.to());
    act(from);
  }

  private void receive(
      Node from,
      Node to,
      MembershipAction.Send send,
      org.heatherspread.protocol.generated.membership.ExchangeMessage encoded) {
    long start = System.nanoTime();
    ExchangeMessage reply = to.core.onRequest(codec.decode(encoded));
    var encodedReply = codec.encode(reply);
    traffic.handlingNanos += System.nanoTime() - start;
    traffic.exchanges++;
    traffic.sent(encodedReply.getSerializedSize() + REPLY_FRAMING_BYTES);
    act(to);
    if (lost(from, to)) {
      at(TIMEOUT_MICROS, () -> failed(from, send));
      return;
    }
    at(
        latency(to, from),
        () -> {
          long begin = System.nanoTime();
          from.core.onReply(send.to(), send.message(), codec.decode(encodedReply));
          traffic.handlingNanos += System.nanoTime() - begin;
          act(from);
        });
  }

  private void askProbe(Node node, MembershipAction.IndirectProbe ask) {
    Node via = byId.get(ask.via().id());
    Node target = byId.get(ask.target().id());
    traffic.sent(2 * (REQUEST_FRAMING_BYTES + REPLY_FRAMING_BYTES));
    if (lost(node, via) || lost(via, target)) {
      return;
    }
    at(
        2 * latency(node, via) + 2 * latency(via, target),
        () -> node.core.onIndirectProbeAnswered(target.self.id()));
  }

  private void fetch(Node node, Instance peer) {
    Node from = byId.get(peer.id());
    if (lost(node, from)) {
      return;
    }
    at(
        2 * latency(node, from),
        () -> {
          traffic.sent(REQUEST_FRAMING_BYTES + REPLY_FRAMING_BYTES + 600);
          node.config.offer(from.config.get());
        });
  }

  private boolean lost(Node from, Node to) {
    boolean cut = from.inRegion(cutRegion) != to.inRegion(cutRegion);
    return cut || from.stopped || to.stopped || random.nextDouble() < LOSS;
  }

  private long latency(Node from, Node to) {
    FailureDomain here = from.self.domain();
    FailureDomain there = to.self.domain();
    long base = FAR_LATENCY_MICROS;
    if (here.equals(there)) {
      base = DOMAIN_LATENCY_MICROS;
    } else if (here.region().equals(there.region())) {
      base = REGION_LATENCY_MICROS;
    }
    return base + (long) (base * 0.4 * random.nextDouble());
  }

  // ---------------------------------------------------------------------------------------------
  // Parts
  // ---------------------------------------------------------------------------------------------

  List<Node> nodes() {
    return nodes;
  }

  Node any() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  Traffic traffic() {
    return traffic;
  }

  /** Cuts a region off from all others; the empty name heals. */
  void cut(String region) {
    cutRegion = region;
  }

  private interface Check {
    boolean holds();
  }

  private record Event(long atMicros, long sequence, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int order = Long.compare(atMicros, other.atMicros);
      return order != 0 ? order : Long.compare(sequence, other.sequence);
    }
  }

  /** What was sent since the last reset. */
  static final class Traffic {
    long messages;
    long bytes;
    long exchanges;
    long handlingNanos;
    long ticks;
    long tickNanos;

    private void sent(int size) {
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

  /** One daemon. */
  final class Node {
    final Instance self;
    final CurrentConfiguration config = CurrentConfiguration.create();
    final MembershipCore core;
    boolean stopped;

    private Node(Instance self, long seed) {
      this.self = self;
      core =
          MembershipCore.create(
              self, MembershipSettings.defaults(), config, clock, clock, new Random(seed));
    }

    private boolean inRegion(String region) {
      return self.domain().region().equals(region);
    }
  }
}
