package org.heatherspread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.model.FailureDomain;
import org.junit.jupiter.api.Test;

class CostRouterTest {
  private static final long NOW = 5_000_000;
  private static final LatencyTarget TARGET =
      new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33));

  private final PrefixIndex index = PrefixIndex.create(1 << 20, 600);
  private final HealthPolicy policy = HealthPolicy.defaults();
  private final EndpointRegistry registry = EndpointRegistry.create(index, policy);
  private final CostRouter router = CostRouter.create(RoutingWeights.costAtTarget(), policy, index);
  private final Random random = new Random(1);

  @Test
  void choosesTheHolderOfTheLongPrefix() {
    RoutingSnapshot snapshot = endpoints(6);
    long[] hashes = hashes(32);
    index.add(hashes, 30, snapshot.endpoint(4).slot(), NOW);

    RoutingDecision decision = choose(snapshot, request(hashes)).orElseThrow();

    assertThat(decision.endpoint()).isSameAs(snapshot.endpoint(4));
    assertThat(decision.cachedTokens()).isEqualTo(30 * 64);
    assertThat(decision.meetsTarget()).isTrue();
  }

  @Test
  void avoidsBusyHolderThatWouldMissTheTarget() {
    RoutingSnapshot snapshot = endpoints(6);
    long[] hashes = hashes(16);
    EndpointView holder = snapshot.endpoint(4);
    index.add(hashes, 16, holder.slot(), NOW);
    holder.applyReport(new LoadReport(NOW, 20, 10, 20_000, 0.9, 0, 0));

    RoutingDecision decision = choose(snapshot, request(hashes)).orElseThrow();

    assertThat(decision.endpoint()).isNotSameAs(holder);
    assertThat(decision.meetsTarget()).isTrue();
  }

  @Test
  void countsOwnDispatchesSinceStaleReports() {
    RoutingSnapshot snapshot = endpoints(4);
    for (int i = 0; i < 4; i++) {
      snapshot.endpoint(i).applyReport(new LoadReport(NOW, i == 2 ? 0 : 4, 0, 0, 0, 0, 0));
    }
    int toIdle = 0;
    for (int i = 0; i < 40; i++) {
      RoutingDecision decision = choose(snapshot, request(hashes(8, i))).orElseThrow();
      decision.dispatch(NOW + 1);
      if (decision.endpoint() == snapshot.endpoint(2)) {
        toIdle++;
      }
    }
    assertThat(toIdle).isBetween(5, 20);
  }

  @Test
  void reportReplacesTheDispatchesThatItIncludes() {
    EndpointView view = endpoints(1).endpoint(0);
    final Dispatch early = view.dispatch(1_000, 100, NOW);
    view.dispatch(500, 100, NOW + 100);
    assertThat(view.expectedBacklogTokens(1, NOW + 100)).isEqualTo(1_500);

    view.applyReport(new LoadReport(NOW + 50, 1, 0, 0, 0, 0, 0));
    assertThat(view.expectedBacklogTokens(1, NOW + 100)).isEqualTo(500);
    assertThat(view.expectedRequests(1)).isEqualTo(2);

    early.recordEnd(DispatchOutcome.ANSWERED, NOW + 200);
    early.recordEnd(DispatchOutcome.ANSWERED, NOW + 200);
    assertThat(view.expectedRequests(1)).isEqualTo(1);
    assertThat(view.ownInFlight()).isEqualTo(1);
  }

  @Test
  void daemonsChooseTheSameEndpointForAnUnknownPrefix() {
    long[] hashes = hashes(32);
    RoutingSnapshot one = endpoints(6);
    PrefixIndex otherIndex = PrefixIndex.create(1 << 20, 600);
    RoutingSnapshot two = snapshot(EndpointRegistry.create(otherIndex, policy), 6);
    CostRouter other = CostRouter.create(RoutingWeights.costAtTarget(), policy, otherIndex);

    String first = choose(one, request(hashes)).orElseThrow().endpoint().profile().id();
    String second =
        other
            .choose(two, request(hashes), NOW, new Random(99))
            .orElseThrow()
            .endpoint()
            .profile()
            .id();

    assertThat(first).isEqualTo(second);
  }

  @Test
  void respectsRequirementsAndExclusions() {
    RoutingSnapshot snapshot = endpoints(3);
    RoutingRequest base = request(hashes(4));
    assertThat(choose(snapshot, base.withModel("v2", ""))).isEmpty();
    assertThat(choose(snapshot, base.withModel("v1", "signs"))).isPresent();
    assertThat(choose(snapshot, base.withModel("v1", "other"))).isEmpty();
    RoutingDecision decision =
        choose(snapshot, base.withExcluded(Set.of("e0", "e1"))).orElseThrow();
    assertThat(decision.endpoint().profile().id()).isEqualTo("e2");
  }

  @Test
  void ejectsFailingEndpointAndReadmitsItAfterOneTrial() {
    RoutingSnapshot snapshot = endpoints(4);
    EndpointView bad = snapshot.endpoint(1);
    for (int i = 0; i < policy.consecutiveFailures(); i++) {
      bad.dispatch(100, 100, NOW).recordEnd(DispatchOutcome.FAILED, NOW);
    }
    assertThat(bad.health().admits(NOW)).isFalse();
    long due = NOW + policy.initialPause().toMillis();
    assertThat(bad.health().admits(due)).isTrue();

    Dispatch trial = bad.dispatch(100, 100, due);
    assertThat(bad.health().admits(due)).isFalse();
    trial.recordFirstToken(due + 100);
    assertThat(bad.health().isEjected()).isFalse();
    assertThat(bad.health().remainingRampUp(due + 100)).isEqualTo(1.0);
  }

  @Test
  void ejectsSlowEndpoint() {
    EndpointView slow = endpoints(2).endpoint(0);
    for (int i = 0; i < 100 && !slow.health().isEjected(); i++) {
      slow.dispatch(100, 10, NOW).recordFirstToken(NOW + 1_000);
    }
    assertThat(slow.health().isEjected()).isTrue();
  }

  @Property(seed = "72", tries = 60)
  void usesSomeEndpointHoweverManyFail(
      @ForAll @IntRange(min = 1, max = 80) int size, @ForAll @IntRange(min = 0, max = 80) int bad) {
    RoutingSnapshot snapshot = snapshot(EndpointRegistry.create(index, policy), size);
    for (int i = 0; i < Math.min(size, bad); i++) {
      for (int n = 0; n < policy.consecutiveFailures(); n++) {
        snapshot.endpoint(i).dispatch(1, 1, NOW).recordEnd(DispatchOutcome.FAILED, NOW);
      }
    }
    RoutingDecision decision = choose(snapshot, request(hashes(4))).orElseThrow();
    boolean fewBad = bad <= policy.maxEjectedShare() * size;
    assertThat(decision.endpoint().health().isEjected() && fewBad).isFalse();
    assertThat(leastLoaded(snapshot)).isPresent();
  }

  private Optional<RoutingDecision> leastLoaded(RoutingSnapshot snapshot) {
    return LeastLoadedRouter.create(RoutingWeights.costAtTarget(), policy)
        .choose(snapshot, request(new long[0]), NOW, random);
  }

  private Optional<RoutingDecision> choose(RoutingSnapshot snapshot, RoutingRequest request) {
    return router.choose(snapshot, request, NOW, random);
  }

  private static RoutingRequest request(long[] hashes) {
    return RoutingRequest.of(hashes, hashes.length * 64, 100, TARGET);
  }

  private RoutingSnapshot endpoints(int count) {
    return snapshot(registry, count);
  }

  private static RoutingSnapshot snapshot(EndpointRegistry registry, int count) {
    List<EndpointProfile> profiles = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FailureDomain domain = new FailureDomain("marmara", "d" + i % 4);
      profiles.add(
          new EndpointProfile(
              "e" + i, 1, domain, "small", 1, 0, LoadedModels.of(Set.of("v1"), Set.of("signs"))));
    }
    return RoutingSnapshot.of(registry.update(profiles, NOW));
  }

  private static long[] hashes(int count) {
    return hashes(count, 0);
  }

  private static long[] hashes(int count, int seed) {
    Random source = new Random(1_000 + seed);
    return source.longs(count).toArray();
  }
}
