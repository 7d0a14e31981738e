package org.heatherspread.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class MembershipCoreTest {
  private final ManualClock clock = ManualClock.create();
  private final List<Node> nodes = new ArrayList<>();
  private String partitionedRegion = "";

  private static Instance instance(String id, InstanceKind kind, String domain) {
    return new Instance(
        id,
        1,
        kind,
        kind == InstanceKind.DAEMON ? "" : "chat",
        new FailureDomain(domain.substring(0, 1), domain),
        "10.0.0.1",
        80,
        81,
        "small",
        Market.RECLAIMABLE,
        1,
        InstanceState.LIVE,
        Optional.empty());
  }

  /** Creates daemons in two regions of two domains each, and one endpoint known to all. */
  private void start(int daemons, long seed) {
    List<Instance> all = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      String domain = (i % 2 == 0 ? "a" : "b") + (i / 2 % 2);
      all.add(instance("d" + i, InstanceKind.DAEMON, domain));
    }
    for (Instance self : List.copyOf(all)) {
      nodes.add(new Node(self, seed++));
    }
    all.add(instance("e0", InstanceKind.ENGINE, "a0"));
    nodes.forEach(node -> node.core.onInstanceList(1, all));
  }

  private void run(Duration interval) {
    for (long i = interval.toMillis() / 50; i > 0; i--) {
      clock.advance(Duration.ofMillis(50));
      for (Node node : nodes) {
        if (!node.paused) {
          node.core.tick();
          node.execute();
        }
      }
    }
  }

  private final class Node {
    private final Instance self;
    private final CurrentConfiguration config = CurrentConfiguration.create();
    private final MembershipCore core;
    private boolean paused;
    private boolean endpointUnresponsive;

    private Node(Instance self, long seed) {
      this.self = self;
      core =
          MembershipCore.create(
              self, MembershipSettings.defaults(), config, clock, clock, new Random(seed));
    }

    private boolean canReach(Node other) {
      boolean separated = isPartitioned() != other.isPartitioned();
      return !separated && !other.paused;
    }

    private boolean isPartitioned() {
      return self.domain().region().equals(partitionedRegion);
    }

    private void execute() {
      for (List<MembershipAction> batch = core.drainActions();
          !batch.isEmpty();
          batch = core.drainActions()) {
        batch.forEach(this::execute);
      }
    }

    private void execute(MembershipAction action) {
      if (action instanceof MembershipAction.Send send) {
        Node to = node(send.to().id());
        if (canReach(to)) {
          ExchangeMessage reply = to.core.onRequest(send.message());
          core.onReply(send.to(), send.message(), reply);
        } else {
          core.onPeerUnreachable(send.to());
        }
      } else if (action instanceof MembershipAction.IndirectProbe indirectProbe) {
        Node via = node(indirectProbe.via().id());
        if (canReach(via) && via.canReach(node(indirectProbe.target().id()))) {
          core.onIndirectProbeAnswered(indirectProbe.target().id());
        }
      } else if (action instanceof MembershipAction.ProbeEndpoint probe) {
        if (endpointUnresponsive) {
          core.onEndpointFailed(probe.endpoint().id());
        } else {
          core.onEndpointAnswered(probe.endpoint().id(), 0);
        }
      }
    }
  }

  private Node node(String id) {
    return nodes.stream().filter(n -> n.self.id().equals(id)).findFirst().orElseThrow();
  }

  private void assertHealthAtAllNodes(String id, Health health) {
    for (Node node : nodes) {
      assertThat(node.core.health(id)).as("%s of %s", node.self.id(), id).contains(health);
    }
  }

  @Property(tries = 500, seed = "5")
  void recordsConvergeInAnyOrderOfArrival(@ForAll long seed) {
    Random random = new Random(seed);
    List<MemberRecord> records = new ArrayList<>();
    Instance instance = instance("e", InstanceKind.ENGINE, "a0");
    for (int i = 0; i < 8; i++) {
      long incarnation = 1 + random.nextInt(2);
      Health health = Health.values()[random.nextInt(4)];
      records.add(
          new MemberRecord(
              "e",
              incarnation,
              random.nextInt(3),
              health,
              0,
              Optional.of(instance.withIncarnation(incarnation))));
    }
    Digest first = new Digest();
    MemberTable forward = new MemberTable(first);
    records.forEach(record -> forward.merge(record, 0));
    Collections.shuffle(records, random);
    Digest second = new Digest();
    MemberTable shuffled = new MemberTable(second);
    records.forEach(record -> shuffled.merge(record, 0));
    assertThat(first.root()).isEqualTo(second.root());
    assertThat(shuffled.get("e").health()).isEqualTo(forward.get("e").health());
    assertThat(shuffled.get("e").incarnation()).isEqualTo(forward.get("e").incarnation());
  }

  @Test
  void leavingSupersedesAliveAndOnlyNewIncarnationSupersedesDead() {
    Instance instance = instance("e", InstanceKind.ENGINE, "a0");
    MemberRecord alive = MemberRecord.of(instance, Health.ALIVE);
    MemberRecord leaving = alive.asLeaving(9);
    MemberRecord dead = alive.withHealth(Health.DEAD);
    assertThat(leaving.supersedes(alive.withRefutation().withRefutation())).isTrue();
    assertThat(alive.withRefutation().supersedes(leaving)).isFalse();
    assertThat(dead.supersedes(leaving)).isTrue();
    assertThat(alive.withRefutation().supersedes(dead)).isFalse();
    assertThat(MemberRecord.of(instance.withIncarnation(2), Health.ALIVE).supersedes(dead))
        .isTrue();
  }

  @Test
  void leavingDaemonIsKnownToAllWithinTwoSeconds() {
    start(24, 1);
    run(Duration.ofSeconds(5));
    nodes.get(3).core.announceLeaving(1_000_000);
    run(Duration.ofSeconds(2));
    assertHealthAtAllNodes("d3", Health.LEAVING);
  }

  @Test
  void pausedDaemonIsSuspectedAndRefutesAfterResuming() {
    start(8, 1);
    run(Duration.ofSeconds(5));
    nodes.get(2).paused = true;
    run(Duration.ofSeconds(10));
    assertThat(nodes.get(0).core.health("d2")).contains(Health.SUSPECT);
    nodes.get(2).paused = false;
    run(Duration.ofSeconds(10));
    assertHealthAtAllNodes("d2", Health.ALIVE);
  }

  @Property(tries = 20, seed = "5")
  void partitionDeclaresNoMemberDeadAndHealsCompletely(@ForAll long seed) {
    nodes.clear();
    start(16, seed);
    run(Duration.ofSeconds(3));
    partitionedRegion = "a";
    run(Duration.ofSeconds(30));
    for (Node node : nodes) {
      assertThat(node.core.snapshot().daemons()).noneMatch(m -> m.health() == Health.DEAD);
    }
    partitionedRegion = "";
    run(Duration.ofSeconds(20));
    nodes.forEach(node -> assertHealthAtAllNodes(node.self.id(), Health.ALIVE));
  }

  @Test
  void unlistedInstanceIsDeclaredDeadUnlessItAnswers() {
    start(8, 1);
    run(Duration.ofSeconds(60));
    nodes.get(5).paused = true;
    run(Duration.ofSeconds(30));
    List<Instance> listed = new ArrayList<>();
    for (Node node : nodes) {
      if (!node.self.id().equals("d5") && !node.self.id().equals("d6")) {
        listed.add(node.self);
      }
    }
    listed.add(instance("e0", InstanceKind.ENGINE, "a0"));
    nodes.get(0).core.onInstanceList(clock.millis(), listed);
    run(Duration.ofSeconds(3));
    assertThat(nodes.get(7).core.health("d5")).contains(Health.DEAD);
    assertThat(nodes.get(7).core.health("d6")).contains(Health.ALIVE);
  }

  @Test
  void listedEndOfInstanceAppliesToLaterIncarnations() {
    start(4, 1);
    run(Duration.ofSeconds(1));
    Instance later = nodes.get(1).self.withIncarnation(9);
    nodes.get(0).core.onInstanceList(clock.millis(), List.of(later));
    Instance listed = nodes.get(1).self;
    nodes.get(0).core.onInstanceList(clock.millis(), List.of(listed.withLeavingAt(1)));
    assertThat(nodes.get(0).core.health("d1")).contains(Health.ALIVE);
    nodes.get(0).core.onInstanceList(clock.millis(), List.of(listed.withLeavingAt(99_000)));
    assertThat(nodes.get(0).core.health("d1")).contains(Health.LEAVING);
  }

  @Test
  void unresponsiveEndpointIsSuspectedByAllAndRecovers() {
    start(8, 1);
    run(Duration.ofSeconds(3));
    nodes.forEach(node -> node.endpointUnresponsive = true);
    run(Duration.ofSeconds(6));
    assertHealthAtAllNodes("e0", Health.SUSPECT);
    nodes.forEach(node -> node.endpointUnresponsive = false);
    run(Duration.ofSeconds(6));
    assertHealthAtAllNodes("e0", Health.ALIVE);
  }

  @Test
  void reclaimNoticeReachesAllWithinThreeSecondsAndIsNotRevertedByInstanceList() {
    start(8, 1);
    run(Duration.ofSeconds(3));
    nodes.get(1).core.onReclaimNotice("e0", 99_000);
    run(Duration.ofSeconds(3));
    assertHealthAtAllNodes("e0", Health.LEAVING);
    nodes
        .get(2)
        .core
        .onInstanceList(clock.millis(), List.of(instance("e0", InstanceKind.ENGINE, "a0")));
    assertThat(nodes.get(2).core.health("e0")).contains(Health.LEAVING);
    assertThat(nodes.get(2).core.snapshot().member("e0").orElseThrow().instance())
        .matches(i -> i.leavingAtMillis().equals(Optional.of(99_000L)));
  }

  @Test
  void entriesReachAllAndExpireAndTheTableStaysBounded() {
    start(8, 1);
    run(Duration.ofSeconds(3));
    for (int i = 0; i < 10_000; i++) {
      nodes.get(0).core.publish("poison", "k" + i, new byte[4], Duration.ofSeconds(60));
    }
    assertThat(nodes.get(0).core.entries("poison")).hasSize(4_096);
    nodes.get(1).core.publish("share", "x", new byte[] {7}, Duration.ofSeconds(60));
    run(Duration.ofSeconds(30));
    assertThat(nodes.get(7).core.entries("share")).hasSize(1);
    run(Duration.ofSeconds(60));
    assertThat(nodes.get(7).core.entries("share")).isEmpty();
  }
}
