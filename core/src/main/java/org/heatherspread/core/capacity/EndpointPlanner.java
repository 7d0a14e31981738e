package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.heatherspread.core.duty.DutyClient.EndpointOrder;
import org.heatherspread.core.serving.ScalingConfig;

/**
 * Plans the number of reclaimable and on-demand endpoints of one service in each failure domain.
 *
 * <p>Reclaims can take all reclaimable endpoints of a domain at once, while no new ones are
 * available there. Reclaimable endpoints are therefore spread over the domains that have capacity.
 * On-demand endpoints replace missing ones as soon as a reclaim is announced, and are released only
 * when reclaimable endpoints serve again. During a reclaim burst no reclaimable endpoint is
 * released, because it could not be replaced. Each domain keeps its minimum. Stateless and
 * thread-safe.
 */
public final class EndpointPlanner {
  /** Minimum share of on-demand endpoints among those required, during a reclaim burst. */
  private static final double BURST_ON_DEMAND_SHARE = 0.5;

  private static final Comparator<Map.Entry<String, Double>> BY_PRICE =
      Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey());

  private EndpointPlanner() {}

  /** Creates a planner. */
  public static EndpointPlanner create() {
    return new EndpointPlanner();
  }

  /**
   * Endpoints of a service in one failure domain. Immutable.
   *
   * @param onDemand on-demand endpoints that serve or are ordered
   * @param reclaimable reclaimable endpoints that serve
   * @param reclaimableAvailable whether more reclaimable endpoints are expected to be available
   */
  public record DomainState(int onDemand, int reclaimable, boolean reclaimableAvailable) {}

  /**
   * Number of endpoints needed in all domains together. Immutable.
   *
   * @param desired target for reclaimable endpoints, where they are available
   * @param required minimum that on-demand endpoints make up for, as they are expensive
   * @param reclaimBurst whether reclaims were observed recently; more are expected then, also in
   *     other domains
   */
  public record EndpointDemand(int desired, int required, boolean reclaimBurst) {}

  /** Returns the orders for all domains and both kinds of endpoint. */
  public List<EndpointOrder> orders(
      String service,
      ScalingConfig scaling,
      EndpointDemand demand,
      Map<String, DomainState> states) {
    List<Map.Entry<String, Double>> domains = new ArrayList<>(scaling.onDemandPrices().entrySet());
    domains.sort(BY_PRICE);
    Map<String, Integer> reclaimable = planReclaimable(domains, scaling, demand, states);
    Map<String, Integer> onDemand = planOnDemand(domains, scaling, demand, states, reclaimable);
    List<EndpointOrder> orders = new ArrayList<>();
    for (Map.Entry<String, Double> domain : domains) {
      String name = domain.getKey();
      orders.add(new EndpointOrder(service, name, true, reclaimable.get(name)));
      orders.add(new EndpointOrder(service, name, false, onDemand.get(name)));
    }
    return orders;
  }

  /** Spreads the desired endpoints over the domains where reclaimable ones are available. */
  private static Map<String, Integer> planReclaimable(
      List<Map.Entry<String, Double>> domains,
      ScalingConfig scaling,
      EndpointDemand demand,
      Map<String, DomainState> states) {
    Map<String, Integer> counts = new HashMap<>();
    int total = 0;
    for (Map.Entry<String, Double> domain : domains) {
      DomainState state = states.get(domain.getKey());
      boolean keep = demand.reclaimBurst() || !state.reclaimableAvailable();
      int count = keep ? state.reclaimable() : scaling.minimum();
      count = state.reclaimableAvailable() ? Math.max(scaling.minimum(), count) : count;
      counts.put(domain.getKey(), count);
      total += count;
    }
    Predicate<String> canGrow =
        name -> states.get(name).reclaimableAvailable() && counts.get(name) < scaling.maximum();
    while (total < demand.desired() && addToSmallest(domains, counts, canGrow)) {
      total++;
    }
    return counts;
  }

  private static Map<String, Integer> planOnDemand(
      List<Map.Entry<String, Double>> domains,
      ScalingConfig scaling,
      EndpointDemand demand,
      Map<String, DomainState> states,
      Map<String, Integer> reclaimable) {
    Map<String, Integer> counts = new HashMap<>();
    int serving = 0;
    int starting = 0;
    int present = 0;
    int total = 0;
    for (Map.Entry<String, Double> domain : domains) {
      String name = domain.getKey();
      DomainState state = states.get(name);
      serving += state.reclaimable();
      starting += Math.max(0, reclaimable.get(name) - state.reclaimable());
      present += state.onDemand();
      int missing = Math.max(0, scaling.minimum() - state.reclaimable());
      int floor = state.reclaimableAvailable() ? Math.min(missing, state.onDemand()) : missing;
      counts.put(name, floor);
      total += floor;
    }
    int gap = Math.max(0, demand.required() - serving);
    int needed = Math.max(gap - starting, Math.min(gap, present));
    if (demand.reclaimBurst()) {
      needed = Math.max(needed, (int) Math.ceil(BURST_ON_DEMAND_SHARE * demand.required()));
    }
    Predicate<String> hasRoom =
        name -> counts.get(name) + states.get(name).reclaimable() < scaling.maximum();
    Predicate<String> hasExisting = name -> counts.get(name) < states.get(name).onDemand();
    while (total < needed
        && (addToSmallest(domains, counts, hasRoom.and(hasExisting))
            || addToSmallest(domains, counts, hasRoom))) {
      total++;
    }
    return counts;
  }

  /**
   * Adds one endpoint to the domain with the fewest, the cheapest of several.
   *
   * @return false if no domain is allowed to take one
   */
  private static boolean addToSmallest(
      List<Map.Entry<String, Double>> byPrice,
      Map<String, Integer> counts,
      Predicate<String> allowed) {
    String smallest = null;
    for (Map.Entry<String, Double> domain : byPrice) {
      String name = domain.getKey();
      boolean smaller = smallest == null || counts.get(name) < counts.get(smallest);
      if (smaller && allowed.test(name)) {
        smallest = name;
      }
    }
    if (smallest == null) {
      return false;
    }
    counts.merge(smallest, 1, Integer::sum);
    return true;
  }
}
