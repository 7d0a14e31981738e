package org.heatherspread.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;
import org.junit.jupiter.api.Test;

class EndpointReconcilerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration INTERVAL = Duration.ofSeconds(3);

  private static ServiceSpec service(ModelVersion... versions) {
    LatencyTarget target = new LatencyTarget(Duration.ofMillis(500), Duration.ofMillis(30));
    return new ServiceSpec(
        "chat", ServiceKind.MODEL, target, List.of(versions), List.of(), List.of());
  }

  private static ModelVersion version(String name, VersionState state) {
    return new ModelVersion(name, List.of(), state);
  }

  private static EndpointState stateWith(String... versions) {
    List<EndpointModel> models = new ArrayList<>();
    for (String version : versions) {
      models.add(new EndpointModel("chat", version, List.of()));
    }
    return new EndpointState(models, "general");
  }

  @Test
  void retiringVersionIsKeptOnlyWhereItIsLoaded() {
    ServiceSpec spec =
        service(
            version("v1", VersionState.RETIRING),
            version("v2", VersionState.ACTIVE),
            version("v0", VersionState.RETIRED));
    assertThat(stateWith("v1").desiredFor(spec)).isEqualTo(stateWith("v1", "v2"));
    assertThat(stateWith("v0").desiredFor(spec)).isEqualTo(stateWith("v2"));
    assertThat(stateWith("*").satisfies(stateWith("v2"))).isTrue();
    assertThat(stateWith("v0", "v2").satisfies(stateWith("v2"))).isFalse();
  }

  @Test
  void newHolderWaitsForOldOrdersOnlyWithoutFencingChecks() {
    OptionalLong epoch = OptionalLong.of(2);
    EndpointReconciler withFencing = EndpointReconciler.create(true, TIMEOUT, INTERVAL);
    EndpointReconciler withoutFencing = EndpointReconciler.create(false, TIMEOUT, INTERVAL);
    assertThat(withFencing.nextAction(epoch, 1_000, 1_000)).isPresent();
    assertThat(withoutFencing.nextAction(epoch, 1_000, 1_000)).isEmpty();
    assertThat(withoutFencing.nextAction(epoch, 1_000, 3_000)).isPresent();
    assertThat(withoutFencing.nextAction(OptionalLong.empty(), 1_000, 9_000)).isEmpty();
  }

  /**
   * Orders that a former lease holder sent may arrive at any time, and take effect if the endpoint
   * does not check fencing tokens. The new holder must revert them when it reads the state back.
   */
  @Property(tries = 200, seed = "5")
  void ordersOfFormerHoldersAreReverted(@ForAll long seed, @ForAll boolean checksFencing) {
    Random random = new Random(seed);
    ServiceSpec spec = service(version("v2", VersionState.ACTIVE));
    EndpointReconciler reconciler = EndpointReconciler.create(checksFencing, TIMEOUT, INTERVAL);
    OptionalLong epoch = OptionalLong.of(2);
    EndpointState state = stateWith("v1");
    long highestToken = 1;
    int lastOldOrder = 0;
    for (int now = 0; now < 60_000; now += 500) {
      boolean oldOrder = now < 40_000 && random.nextInt(10) == 0;
      if (oldOrder && !(checksFencing && highestToken > 1)) {
        state = stateWith("v1");
        lastOldOrder = now;
      }
      if (reconciler.nextAction(epoch, 0, now).isEmpty()) {
        continue;
      }
      if (random.nextInt(3) == 0) {
        reconciler.onReadFailure(now);
        continue;
      }
      Optional<EndpointReconciler.Action> next = reconciler.onStateRead(state, spec, epoch, now);
      if (next.isPresent() && next.get() instanceof EndpointReconciler.Action.SendOrder order) {
        state = order.desired();
        highestToken = order.fencing();
      }
    }
    assertThat(lastOldOrder).isLessThan(40_000);
    assertThat(state).isEqualTo(stateWith("v2"));
  }
}
