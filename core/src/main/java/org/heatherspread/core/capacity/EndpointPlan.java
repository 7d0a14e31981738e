package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.duty.DutyCalls.EndpointOrder;
import org.heatherspread.core.serving.ScalingRule;

/**
 * Plans how many endpoints of one service each failure domain should have, and of which kind.
 *
 * <p>Answers reclaims that take all reclaimable endpoints of a domain at once while no others are
 * to be had: work is spread evenly over the domains, reclaimable endpoints are used wherever they
 * can be had, lasting ones fill the gap from the notice on and are given up only when reclaimable
 * ones serve again. Stateless.
 */
public final class EndpointPlan {
  private static final Comparator<Map.Entry<String, Double>> BY_PRICE =
      Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey());

  /** Part of a domain's endpoints that should be lasting ones while reclaims come in a wave. */
  private static final double WAVE_RESERVE = 0.5;

  private EndpointPlan() {}

  /** Creates a plan. */
  public static EndpointPlan create() {
    return new EndpointPlan();
  }

  /**
   * The endpoints of a domain as seen.
   *
   * @param lasting lasting endpoints that take work or are ordered
   * @param reclaimable reclaimable endpoints that take work
   * @param reclaimableToBeHad whether more reclaimable ones can be had, as far as known
   */
  public record DomainState(int lasting, int reclaimable, boolean reclaimableToBeHad) {}

  /** Returns how many endpoints each domain should have, of so many in total. */
  public Map<String, Integer> spread(ScalingRule rule, int needed) {
    List<Map.Entry<String, Double>> domains = new ArrayList<>(rule.domainPrices().entrySet());
    domains.sort(BY_PRICE);
    Map<String, Integer> wanted = new HashMap<>();
    int total = 0;
    for (Map.Entry<String, Double> domain : domains) {
      wanted.put(domain.getKey(), rule.minimum());
      total += rule.minimum();
    }
    while (total < needed) {
      String next = emptiest(domains, wanted, rule.maximum());
      if (next == null) {
        break;
      }
      wanted.merge(next, 1, Integer::sum);
      total++;
    }
    return wanted;
  }

  private static String emptiest(
      List<Map.Entry<String, Double>> byPrice, Map<String, Integer> wanted, int maximum) {
    String emptiest = null;
    for (Map.Entry<String, Double> domain : byPrice) {
      int count = wanted.get(domain.getKey());
      boolean room = count < maximum;
      if (room && (emptiest == null || count < wanted.get(emptiest))) {
        emptiest = domain.getKey();
      }
    }
    return emptiest;
  }

  /**
   * Returns the orders that should stand.
   *
   * @param wanted endpoints of each domain where reclaimable ones can be had
   * @param required endpoints of each domain that dear, lasting ones have to make up
   * @param wave whether reclaims were seen lately; more are to be expected, in other domains too
   */
  public List<EndpointOrder> orders(
      String service,
      Map<String, Integer> wanted,
      Map<String, Integer> required,
      Map<String, DomainState> states,
      boolean wave) {
    List<EndpointOrder> orders = new ArrayList<>();
    for (Map.Entry<String, Integer> entry : wanted.entrySet()) {
      String domain = entry.getKey();
      int count = entry.getValue();
      DomainState state = states.getOrDefault(domain, new DomainState(0, 0, true));
      int enough = required.getOrDefault(domain, count);
      int missing = Math.max(0, enough - state.reclaimable());
      if (state.reclaimableToBeHad()) {
        orders.add(new EndpointOrder(service, domain, true, count));
        int lasting = Math.min(state.lasting(), missing);
        int reserve = wave ? (int) Math.ceil(WAVE_RESERVE * enough) : 0;
        orders.add(new EndpointOrder(service, domain, false, Math.max(lasting, reserve)));
      } else {
        orders.add(new EndpointOrder(service, domain, true, state.reclaimable()));
        orders.add(new EndpointOrder(service, domain, false, missing));
      }
    }
    return orders;
  }
}
