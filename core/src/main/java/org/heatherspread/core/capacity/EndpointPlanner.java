package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.heatherspread.core.duty.DutyCalls.EndpointOrder;
import org.heatherspread.core.serving.ScalingConfig;

/**
 * Plans how many endpoints of one service each failure domain should have, and of which kind.
 *
 * <p>Answers reclaims that take all reclaimable endpoints of a domain at once while no others are
 * to be had there: reclaimable endpoints are spread over the domains that have some to give;
 * lasting ones make up what is missing from the notice on, and are given up only when reclaimable
 * ones serve again. While reclaims come in a wave, no reclaimable endpoint is given up, as it could
 * not be had again. No domain falls below its minimum. Stateless.
 */
public final class EndpointPlanner {
  /** Share of the required endpoints that should be lasting ones while reclaims come in a wave. */
  private static final double BURST_ON_DEMAND_SHARE = 0.5;

  private static final Comparator<Map.Entry<String, Double>> BY_PRICE =
      Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey());

  private EndpointPlanner() {}

  /** Creates a plan. */
  public static EndpointPlanner create() {
    return new EndpointPlanner();
  }

  /**
   * The endpoints of a domain as seen.
   *
   * @param onDemand on-demand endpoints that take work or are ordered
   * @param reclaimable reclaimable endpoints that take work
   * @param reclaimableAvailable whether more reclaimable ones can be had, as far as known
   */
  public record DomainState(int onDemand, int reclaimable, boolean reclaimableAvailable) {}

  /**
   * How many endpoints are needed in all domains together.
   *
   * @param wanted where reclaimable ones can be had
   * @param required what dear, lasting ones have to make up
   * @param wave whether reclaims were seen lately; more are to be expected, in other domains too
   */
  public record EndpointDemand(int desired, int required, boolean reclaimBurst) {}

  /** Returns the orders that should stand. */
  public List<EndpointOrder> orders(
      String service, ScalingConfig rule, EndpointDemand demand, Map<String, DomainState> states) {
    List<Map.Entry<String, Double>> domains = new ArrayList<>(rule.onDemandPrices().entrySet());
    domains.sort(BY_PRICE);
    Map<String, Integer> reclaimable = reclaimable(domains, rule, demand, states);
    Map<String, Integer> onDemand = onDemand(domains, rule, demand, states, reclaimable);
    List<EndpointOrder> orders = new ArrayList<>();
    for (Map.Entry<String, Double> domain : domains) {
      String name = domain.getKey();
      orders.add(new EndpointOrder(service, name, true, reclaimable.get(name)));
      orders.add(new EndpointOrder(service, name, false, onDemand.get(name)));
    }
    return orders;
  }

  /** Spreads what is wanted over the domains that have reclaimable endpoints to give. */
  private static Map<String, Integer> reclaimable(
      List<Map.Entry<String, Double>> domains,
      ScalingConfig rule,
      EndpointDemand demand,
      Map<String, DomainState> states) {
    Map<String, Integer> counts = new HashMap<>();
    int total = 0;
    for (Map.Entry<String, Double> domain : domains) {
      DomainState state = states.get(domain.getKey());
      boolean keep = demand.reclaimBurst() || !state.reclaimableAvailable();
      int count = keep ? state.reclaimable() : rule.minimum();
      count = state.reclaimableAvailable() ? Math.max(rule.minimum(), count) : count;
      counts.put(domain.getKey(), count);
      total += count;
    }
    Predicate<String> open =
        name -> states.get(name).reclaimableAvailable() && counts.get(name) < rule.maximum();
    while (total < demand.desired() && addToEmptiest(domains, counts, open)) {
      total++;
    }
    return counts;
  }

  private static Map<String, Integer> onDemand(
      List<Map.Entry<String, Double>> domains,
      ScalingConfig rule,
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
      int missing = Math.max(0, rule.minimum() - state.reclaimable());
      int least = state.reclaimableAvailable() ? Math.min(missing, state.onDemand()) : missing;
      counts.put(name, least);
      total += least;
    }
    int gap = Math.max(0, demand.required() - serving);
    int needed = Math.max(gap - starting, Math.min(gap, present));
    if (demand.reclaimBurst()) {
      needed = Math.max(needed, (int) Math.ceil(BURST_ON_DEMAND_SHARE * demand.required()));
    }
    Predicate<String> room =
        name -> counts.get(name) + states.get(name).reclaimable() < rule.maximum();
    Predicate<String> there = name -> counts.get(name) < states.get(name).onDemand();
    while (total < needed
        && (addToEmptiest(domains, counts, room.and(there))
            || addToEmptiest(domains, counts, room))) {
      total++;
    }
    return counts;
  }

  /**
   * Adds one to the domain with the minInstances, the cheapest of several; false if none may take
   * it.
   */
  private static boolean addToEmptiest(
      List<Map.Entry<String, Double>> byPrice,
      Map<String, Integer> counts,
      Predicate<String> allowed) {
    String emptiest = null;
    for (Map.Entry<String, Double> domain : byPrice) {
      String name = domain.getKey();
      boolean fewer = emptiest == null || counts.get(name) < counts.get(emptiest);
      if (fewer && allowed.test(name)) {
        emptiest = name;
      }
    }
    if (emptiest == null) {
      return false;
    }
    counts.merge(emptiest, 1, Integer::sum);
    return true;
  }
}
