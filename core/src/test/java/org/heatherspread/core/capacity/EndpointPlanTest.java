package org.heatherspread.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.capacity.EndpointPlan.DomainState;
import org.heatherspread.core.duty.DutyCalls.EndpointOrder;
import org.heatherspread.core.serving.ScalingRule;
import org.junit.jupiter.api.Test;

class EndpointPlanTest {
  private static final ScalingRule RULE =
      new ScalingRule(1, 3, 4_000, 0.2, Map.of("a", 1.0, "b", 0.8, "c", 1.25));
  private final EndpointPlan plan = EndpointPlan.create();

  @Test
  void spreadsEndpointsEvenlyCheapDomainsFirst() {
    assertThat(plan.spread(RULE, 4)).isEqualTo(Map.of("a", 1, "b", 2, "c", 1));
    assertThat(plan.spread(RULE, 100)).isEqualTo(Map.of("a", 3, "b", 3, "c", 3));
    assertThat(plan.spread(RULE, 0)).isEqualTo(Map.of("a", 1, "b", 1, "c", 1));
  }

  @Test
  void keepsLastingEndpointsUntilReclaimableOnesServe() {
    Map<String, Integer> wanted = Map.of("a", 2);
    assertThat(plan.orders("s", wanted, wanted, Map.of("a", new DomainState(2, 0, true)), false))
        .containsExactlyInAnyOrder(
            new EndpointOrder("s", "a", true, 2), new EndpointOrder("s", "a", false, 2));
    assertThat(plan.orders("s", wanted, wanted, Map.of("a", new DomainState(2, 2, true)), false))
        .contains(new EndpointOrder("s", "a", false, 0));
  }

  @Test
  void ordersLastingEndpointsWhereNoReclaimableOnesCanBeHad() {
    List<EndpointOrder> orders =
        plan.orders(
            "s", Map.of("a", 2), Map.of("a", 2), Map.of("a", new DomainState(0, 0, false)), true);
    assertThat(orders).contains(new EndpointOrder("s", "a", false, 2));
  }

  /** A try for reclaimable endpoints does not give up lasting ones that are still starting. */
  @Test
  void doesNotCancelLastingEndpointsThatAreStarting() {
    List<EndpointOrder> orders =
        plan.orders(
            "s", Map.of("a", 3), Map.of("a", 3), Map.of("a", new DomainState(3, 0, true)), false);
    assertThat(orders).contains(new EndpointOrder("s", "a", false, 3));
  }

  @Test
  void holdsLastingEndpointsInReserveDuringReclaims() {
    List<EndpointOrder> orders =
        plan.orders(
            "s", Map.of("a", 3), Map.of("a", 3), Map.of("a", new DomainState(0, 3, true)), true);
    assertThat(orders).contains(new EndpointOrder("s", "a", false, 2));
  }

  /** Dear endpoints only make up what is required, not what would be comfortable. */
  @Test
  void ordersFewerLastingEndpointsThanReclaimableOnes() {
    Map<String, DomainState> dry = Map.of("a", new DomainState(0, 0, false));
    assertThat(plan.orders("s", Map.of("a", 3), Map.of("a", 2), dry, false))
        .contains(new EndpointOrder("s", "a", false, 2));
  }
}
