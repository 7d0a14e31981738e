package org.heatherspread.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.heatherspread.core.capacity.EndpointPlanner.DomainState;
import org.heatherspread.core.capacity.EndpointPlanner.EndpointDemand;
import org.heatherspread.core.duty.DutyCalls.EndpointOrder;
import org.heatherspread.core.serving.ScalingConfig;
import org.junit.jupiter.api.Test;

class EndpointPlannerTest {
  private static final ScalingConfig RULE =
      new ScalingConfig(1, 3, 4_000, 0.2, Map.of("a", 1.0, "b", 0.8, "c", 1.25));
  private static final DomainState EMPTY = new DomainState(0, 0, true);
  private static final DomainState DRY = new DomainState(0, 0, false);
  private final EndpointPlanner plan = EndpointPlanner.create();

  /** Returns the counts ordered, "a" for reclaimable and "a!" for lasting ones. */
  private Map<String, Integer> orders(
      EndpointDemand need, DomainState a, DomainState b, DomainState c) {
    Map<String, Integer> counts = new HashMap<>();
    for (EndpointOrder order : plan.orders("s", RULE, need, Map.of("a", a, "b", b, "c", c))) {
      counts.put(order.domain() + (order.reclaimable() ? "" : "!"), order.count());
    }
    return counts;
  }

  @Test
  void spreadsReclaimableEndpointsEvenlyCheapDomainsFirst() {
    assertThat(orders(new EndpointDemand(4, 4, false), EMPTY, EMPTY, EMPTY))
        .isEqualTo(Map.of("a", 1, "b", 2, "c", 1, "a!", 0, "b!", 0, "c!", 0));
    assertThat(orders(new EndpointDemand(100, 1, false), EMPTY, EMPTY, EMPTY))
        .containsEntry("a", 3)
        .containsEntry("b", 3)
        .containsEntry("c", 3);
  }

  @Test
  void keepsLastingEndpointsUntilReclaimableOnesServe() {
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

  /** What one domain cannot give is taken from the others rather than bought dear. */
  @Test
  void takesReclaimableEndpointsWhereTheyCanBeHad() {
    DomainState two = new DomainState(0, 2, true);
    assertThat(orders(new EndpointDemand(6, 4, false), DRY, two, two))
        .isEqualTo(Map.of("a", 0, "b", 3, "c", 3, "a!", 1, "b!", 0, "c!", 0));
  }

  /** A domain that is dry keeps the reclaimable endpoints that it has. */
  @Test
  void givesNothingUpWhereNoMoreCanBeHad() {
    DomainState three = new DomainState(0, 3, false);
    assertThat(orders(new EndpointDemand(4, 3, false), three, EMPTY, EMPTY)).containsEntry("a", 3);
  }

  @Test
  void buysLastingEndpointsWhenAllDomainsAreDry() {
    assertThat(orders(new EndpointDemand(6, 5, false), DRY, DRY, DRY))
        .containsEntry("a!", 2)
        .containsEntry("b!", 2)
        .containsEntry("c!", 1);
  }

  /** A try for reclaimable endpoints does not give up lasting ones that are still starting. */
  @Test
  void keepsLastingEndpointsThatAreStarting() {
    DomainState lasting = new DomainState(2, 0, true);
    assertThat(orders(new EndpointDemand(3, 3, false), lasting, DRY, DRY)).containsEntry("a!", 1);
    assertThat(orders(new EndpointDemand(6, 6, false), lasting, lasting, lasting))
        .containsEntry("a!", 2)
        .containsEntry("b!", 2)
        .containsEntry("c!", 2);
  }

  /** While domains are reclaimed one after the other, what is given up cannot be had again. */
  @Test
  void givesNoReclaimableEndpointUpDuringReclaims() {
    DomainState three = new DomainState(0, 3, true);
    assertThat(orders(new EndpointDemand(3, 3, true), three, three, DRY))
        .containsEntry("a", 3)
        .containsEntry("b", 3);
  }

  @Test
  void holdsLastingEndpointsInReserveDuringReclaims() {
    DomainState two = new DomainState(0, 2, true);
    Map<String, Integer> orders = orders(new EndpointDemand(6, 4, true), two, two, two);
    assertThat(orders.get("a!") + orders.get("b!") + orders.get("c!")).isEqualTo(2);
  }
}
