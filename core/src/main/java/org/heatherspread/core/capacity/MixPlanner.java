package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.model.Market;

/**
 * Chooses a mix of instances whose capacity covers the demand after the loss of any one failure
 * domain.
 *
 * <p>Greedy: adds the offer with the greatest reduction of the shortfall per price, summed over the
 * loss of each domain, and then removes instances that are not needed, most expensive first. The
 * result may cost more than the optimum, which is a covering problem, but always covers the demand
 * if the offers and bounds permit. Stateless and thread-safe.
 */
public final class MixPlanner {
  private static final double TOLERANCE = 1e-9;

  private MixPlanner() {}

  /**
   * Chooses a mix for a service without instances.
   *
   * @param offers offers that are available
   * @param demand demand in requests per second
   * @param bounds limits on instances, price and on-demand share
   * @return number of instances by pool; covers less than the demand only if the offers or bounds
   *     do not permit more
   */
  public static Map<CapacityPool, Integer> plan(
      List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
    Map<CapacityPool, Integer> mix = new HashMap<>();
    for (CapacityPool pool : selectAdditions(Map.of(), offers, offers, demand, bounds)) {
      mix.merge(pool, 1, Integer::sum);
    }
    trim(mix, offers, new Shortfall(offers, demand, bounds));
    return mix;
  }

  /**
   * Chooses the instances to add to an existing mix.
   *
   * @param held number of existing instances by pool
   * @param offers all offers, including those that are not available now
   * @param available offers that are available now
   * @param demand demand in requests per second
   * @param bounds limits on instances, price and on-demand share
   * @return pools of the instances to start, most needed first
   */
  public static List<CapacityPool> selectAdditions(
      Map<CapacityPool, Integer> held,
      List<CapacityOffer> offers,
      List<CapacityOffer> available,
      double demand,
      CapacityBounds bounds) {
    Map<CapacityPool, Integer> mix = new HashMap<>(held);
    Shortfall shortfall = new Shortfall(offers, demand, bounds);
    List<CapacityPool> added = new ArrayList<>();
    CapacityOffer next = selectNext(mix, available, shortfall);
    while (next != null) {
      mix.merge(next.pool(), 1, Integer::sum);
      added.add(next.pool());
      next = selectNext(mix, available, shortfall);
    }
    return added;
  }

  private static CapacityOffer selectNext(
      Map<CapacityPool, Integer> mix, List<CapacityOffer> available, Shortfall shortfall) {
    CapacityOffer selected = null;
    double bestValue = 0;
    for (CapacityOffer offer : available) {
      double value = shortfall.reduction(mix, offer) / offer.pricePerHour() * offer.availability();
      if (value > bestValue + TOLERANCE && shortfall.isWithinBounds(mix, offer)) {
        selected = offer;
        bestValue = value;
      }
    }
    return selected;
  }

  /** Returns whether a mix covers the demand after the loss of any one failure domain. */
  public static boolean coversDemand(
      Map<CapacityPool, Integer> mix,
      List<CapacityOffer> offers,
      double demand,
      CapacityBounds bounds) {
    return new Shortfall(offers, demand, bounds).compute(mix) <= TOLERANCE;
  }

  private static void trim(
      Map<CapacityPool, Integer> mix, List<CapacityOffer> offers, Shortfall shortfall) {
    List<CapacityOffer> byPrice = new ArrayList<>(offers);
    byPrice.sort((a, b) -> Double.compare(b.pricePerHour(), a.pricePerHour()));
    double initial = shortfall.compute(mix);
    for (CapacityOffer offer : byPrice) {
      int count = mix.getOrDefault(offer.pool(), 0);
      while (count > 0) {
        mix.put(offer.pool(), count - 1);
        if (shortfall.compute(mix) > initial + TOLERANCE || shortfall.isBelowMinimum(mix)) {
          mix.put(offer.pool(), count);
          break;
        }
        count--;
      }
      mix.remove(offer.pool(), 0);
    }
  }

  /**
   * Computes the shortfall of a mix: the sum of the squared shortfalls after the loss of each
   * domain and below the on-demand minimum. Squaring makes the greedy choice reduce the worst
   * shortfall first.
   */
  private static final class Shortfall {
    private final Map<CapacityPool, CapacityOffer> byPool = new HashMap<>();
    private final List<String> domains = new ArrayList<>();
    private final double demand;
    private final CapacityBounds bounds;
    private final boolean hasOnDemand;

    Shortfall(List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
      this.demand = demand;
      this.bounds = bounds;
      boolean found = false;
      for (CapacityOffer offer : offers) {
        byPool.put(offer.pool(), offer);
        found |= offer.pool().market() == Market.ON_DEMAND;
        if (!domains.contains(offer.pool().domain())) {
          domains.add(offer.pool().domain());
        }
      }
      hasOnDemand = found;
    }

    double reduction(Map<CapacityPool, Integer> mix, CapacityOffer offer) {
      double before = compute(mix);
      if (before <= TOLERANCE) {
        return isBelowMinimum(mix) ? offer.requestsPerSecond() : 0;
      }
      Map<CapacityPool, Integer> more = new HashMap<>(mix);
      more.merge(offer.pool(), 1, Integer::sum);
      return before - compute(more);
    }

    boolean isWithinBounds(Map<CapacityPool, Integer> mix, CapacityOffer offer) {
      return count(mix) < bounds.maxInstances()
          && price(mix) + offer.pricePerHour() <= bounds.maxPricePerHour() + TOLERANCE;
    }

    boolean isBelowMinimum(Map<CapacityPool, Integer> mix) {
      return count(mix) < bounds.minInstances();
    }

    double compute(Map<CapacityPool, Integer> mix) {
      double sum = 0;
      for (String lost : domains) {
        sum += square(demand - capacity(mix, lost, false));
      }
      if (hasOnDemand) {
        sum += square(bounds.minOnDemandShare() * demand - capacity(mix, "", true));
      }
      return sum;
    }

    private static double square(double shortfall) {
      double positive = Math.max(0, shortfall);
      return positive * positive;
    }

    private double capacity(Map<CapacityPool, Integer> mix, String lost, boolean onDemandOnly) {
      double sum = 0;
      for (Map.Entry<CapacityPool, Integer> entry : mix.entrySet()) {
        CapacityPool pool = entry.getKey();
        CapacityOffer offer = byPool.get(pool);
        boolean counts = !onDemandOnly || pool.market() == Market.ON_DEMAND;
        if (offer != null && counts && !pool.domain().equals(lost)) {
          sum += entry.getValue() * offer.requestsPerSecond();
        }
      }
      return sum;
    }

    private static int count(Map<CapacityPool, Integer> mix) {
      int count = 0;
      for (int value : mix.values()) {
        count += value;
      }
      return count;
    }

    private double price(Map<CapacityPool, Integer> mix) {
      double price = 0;
      for (Map.Entry<CapacityPool, Integer> entry : mix.entrySet()) {
        CapacityOffer offer = byPool.get(entry.getKey());
        price += offer == null ? 0 : entry.getValue() * offer.pricePerHour();
      }
      return price;
    }
  }
}
