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

  private static EndpointState holding(String... versions) {
    List<EndpointModel> models = new ArrayList<>();
    for (String version : versions) {
      models.add(new EndpointModel("chat", version, List.of()));
    }
    return new EndpointState(models, "general");
  }

  @Test
  void retiringVersionStaysWhereItIsLoadedAndIsLoadedNowhereElse() {
    ServiceSpec spec =
        service(
            version("v1", VersionState.RETIRING),
            version("v2", VersionState.ACTIVE),
            version("v0", VersionState.RETIRED));
    assertThat(holding("v1").desiredFor(spec)).isEqualTo(holding("v1", "v2"));
    assertThat(holding("v0").desiredFor(spec)).isEqualTo(holding("v2"));
    assertThat(holding("*").satisfies(holding("v2"))).isTrue();
    assertThat(holding("v0", "v2").satisfies(holding("v2"))).isFalse();
  }

  @Test
  void newHolderWaitsOutOldOrdersOnlyWhereFencingIsIgnored() {
    OptionalLong epoch = OptionalLong.of(2);
    EndpointReconciler checking = EndpointReconciler.create(true, TIMEOUT, INTERVAL);
    EndpointReconciler ignoring = EndpointReconciler.create(false, TIMEOUT, INTERVAL);
    assertThat(checking.nextAction(epoch, 1_000, 1_000)).isPresent();
    assertThat(ignoring.nextAction(epoch, 1_000, 1_000)).isEmpty();
    assertThat(ignoring.nextAction(epoch, 1_000, 3_000)).isPresent();
    assertThat(ignoring.nextAction(OptionalLong.empty(), 1_000, 9_000)).isEmpty();
  }

  /** An old holder's orders arrive at any time; the holder's read-back always undoes them. */
  @Property(tries = 200, seed = "5")
  void noOrderOfAnOldHolderStaysInEffect(@ForAll long seed, @ForAll boolean checks) {
    Random random = new Random(seed);
    ServiceSpec spec = service(version("v2", VersionState.ACTIVE));
    EndpointReconciler giver = EndpointReconciler.create(checks, TIMEOUT, INTERVAL);
    OptionalLong epoch = OptionalLong.of(2);
    EndpointState state = holding("v1");
    long highest = 1;
    int lastOldOrder = 0;
    for (int now = 0; now < 60_000; now += 500) {
      boolean oldOrder = now < 40_000 && random.nextInt(10) == 0;
      if (oldOrder && !(checks && highest > 1)) {
        state = holding("v1");
        lastOldOrder = now;
      }
      if (giver.nextAction(epoch, 0, now).isEmpty()) {
        continue;
      }
      if (random.nextInt(3) == 0) {
        giver.onReadFailure(now);
        continue;
      }
      Optional<EndpointReconciler.Action> next = giver.onStateRead(state, spec, epoch, now);
      if (next.isPresent() && next.get() instanceof EndpointReconciler.Action.SendOrder give) {
        state = give.desired();
        highest = give.fencing();
      }
    }
    assertThat(lastOldOrder).isLessThan(40_000);
    assertThat(state).isEqualTo(holding("v2"));
  }
}
