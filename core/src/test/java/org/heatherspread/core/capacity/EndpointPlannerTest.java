package org.heatherspread.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.heatherspread.core.capacity.EndpointPlanner.DomainState;
import org.heatherspread.core.capacity.EndpointPlanner.EndpointDemand;
import org.heatherspread.core.duty.DutyClient.EndpointOrder;
import org.heatherspread.core.serving.ScalingConfig;
import org.junit.jupiter.api.Test;

class EndpointPlannerTest {
  private static final ScalingConfig RULE =
      new ScalingConfig(1, 3, 4_000, 0.2, Map.of("a", 1.0, "b", 0.8, "c", 1.25));
  private static final DomainState EMPTY = new DomainState(0, 0, true);
  private static final DomainState UNAVAILABLE = new DomainState(0, 0, false);
  private final EndpointPlanner planner = EndpointPlanner.create();

  /** Returns the ordered counts by domain; the key of on-demand endpoints ends with "!". */
  private Map<String, Integer> orders(
      EndpointDemand need, DomainState a, DomainState b, DomainState c) {
    Map<String, Integer> counts = new HashMap<>();
    for (EndpointOrder order : planner.orders("s", RULE, need, Map.of("a", a, "b", b, "c", c))) {
      counts.put(order.domain() + (order.reclaimable() ? "" : "!"), order.count());
    }
    return counts;
  }

  @Test
  void spreadsReclaimableEndpointsEvenlyWithCheapDomainsFirst() {
    assertThat(orders(new EndpointDemand(4, 4, false), EMPTY, EMPTY, EMPTY))
        .isEqualTo(Map.of("a", 1, "b", 2, "c", 1, "a!", 0, "b!", 0, "c!", 0));
    assertThat(orders(new EndpointDemand(100, 1, false), EMPTY, EMPTY, EMPTY))
        .containsEntry("a", 3)
        .containsEntry("b", 3)
        .containsEntry("c", 3);
  }

  @Test
  void keepsOnDemandEndpointsUntilReclaimableOnesServe() {
    DomainState starting = new DomainState(2, 0, true);
    assertThat(orders(new EndpointDemand(6, 5, false), starting, starting, starting))
        .containsEntry("a", 2)
        .containsEntry("b!", 2)
        .containsEntry("a!", 2);
    DomainState served = new DomainState(2, 2, true);
    assertThat(orders(new EndpointDemand(6, 5, false), served, served, served))
        .containsEntry("a!", 0)
        .containsEntry("b!", 0);
  }

  /** Reclaimable capacity missing in one domain comes from the others before on-demand. */
  @Test
  void ordersReclaimableEndpointsWhereAvailable() {
    DomainState two = new DomainState(0, 2, true);
    assertThat(orders(new EndpointDemand(6, 4, false), UNAVAILABLE, two, two))
        .isEqualTo(Map.of("a", 0, "b", 3, "c", 3, "a!", 1, "b!", 0, "c!", 0));
  }

  @Test
  void keepsReclaimableEndpointsOfUnavailableDomain() {
    DomainState three = new DomainState(0, 3, false);
    assertThat(orders(new EndpointDemand(4, 3, false), three, EMPTY, EMPTY)).containsEntry("a", 3);
  }

  @Test
  void ordersOnDemandEndpointsWhenNoDomainHasReclaimableOnes() {
    assertThat(orders(new EndpointDemand(6, 5, false), UNAVAILABLE, UNAVAILABLE, UNAVAILABLE))
        .containsEntry("a!", 2)
        .containsEntry("b!", 2)
        .containsEntry("c!", 1);
  }

  /** Ordering reclaimable endpoints must not release on-demand ones that are still starting. */
  @Test
  void keepsOnDemandEndpointsThatAreStarting() {
    DomainState onDemand = new DomainState(2, 0, true);
    assertThat(orders(new EndpointDemand(3, 3, false), onDemand, UNAVAILABLE, UNAVAILABLE))
        .containsEntry("a!", 1);
    assertThat(orders(new EndpointDemand(6, 6, false), onDemand, onDemand, onDemand))
        .containsEntry("a!", 2)
        .containsEntry("b!", 2)
        .containsEntry("c!", 2);
  }

  /** While domains are reclaimed one after the other, released endpoints cannot be replaced. */
  @Test
  void releasesNoReclaimableEndpointDuringReclaimBurst() {
    DomainState three = new DomainState(0, 3, true);
    assertThat(orders(new EndpointDemand(3, 3, true), three, three, UNAVAILABLE))
        .containsEntry("a", 3)
        .containsEntry("b", 3);
  }

  @Test
  void reservesOnDemandEndpointsDuringReclaimBurst() {
    DomainState two = new DomainState(0, 2, true);
    Map<String, Integer> orders = orders(new EndpointDemand(6, 4, true), two, two, two);
    assertThat(orders.get("a!") + orders.get("b!") + orders.get("c!")).isEqualTo(2);
  }
}
