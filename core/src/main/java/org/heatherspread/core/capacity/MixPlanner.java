package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.model.Market;

/**
 * Chooses how many instances of which offers to hold, so that what is left without any one failure
 * domain still answers the demand.
 *
 * <p>Greedy: adds the offer that buys the most of what is missing for its price, over all losses of
 * one domain at once, and then takes away what is not needed, dearest first. Not always the
 * optimum, which is a covering problem, but never short of the demand where the offers allow to
 * meet it. Stateless; safe for use by any thread.
 */
public final class MixPlanner {
  private static final double ROUNDING = 1e-9;

  private MixPlanner() {}

  /**
   * Chooses a mix from nothing.
   *
   * @param offers what can be bought now
   * @param demand requests a second
   * @param bounds most instances, price and on-demand share
   * @return instances by machine; short of the demand only where the offers or bounds are
   */
  public static Map<CapacityPool, Integer> plan(
      List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
    Map<CapacityPool, Integer> mix = new HashMap<>();
    for (CapacityPool pool : selectAdditions(Map.of(), offers, offers, demand, bounds)) {
      mix.merge(pool, 1, Integer::sum);
    }
    trim(mix, offers, new Needs(offers, demand, bounds));
    return mix;
  }

  /**
   * Chooses what to add to a mix that is held.
   *
   * @param held instances by machine
   * @param offers all offers, also of machines that cannot be had now
   * @param open offers that can be had now
   * @return machines to start, the most needed first
   */
  public static List<CapacityPool> selectAdditions(
      Map<CapacityPool, Integer> held,
      List<CapacityOffer> offers,
      List<CapacityOffer> open,
      double demand,
      CapacityBounds bounds) {
    Map<CapacityPool, Integer> mix = new HashMap<>(held);
    Needs needs = new Needs(offers, demand, bounds);
    List<CapacityPool> added = new ArrayList<>();
    CapacityOffer next = best(mix, open, needs);
    while (next != null) {
      mix.merge(next.pool(), 1, Integer::sum);
      added.add(next.pool());
      next = best(mix, open, needs);
    }
    return added;
  }

  private static CapacityOffer best(
      Map<CapacityPool, Integer> mix, List<CapacityOffer> open, Needs needs) {
    CapacityOffer best = null;
    double bestValue = 0;
    for (CapacityOffer offer : open) {
      double value = needs.gain(mix, offer) / offer.pricePerHour() * offer.availability();
      if (value > bestValue + ROUNDING && needs.allowed(mix, offer)) {
        best = offer;
        bestValue = value;
      }
    }
    return best;
  }

  /** Tells whether a mix answers the demand also with any one domain gone. */
  public static boolean coversDemand(
      Map<CapacityPool, Integer> mix,
      List<CapacityOffer> offers,
      double demand,
      CapacityBounds bounds) {
    return new Needs(offers, demand, bounds).missing(mix) <= ROUNDING;
  }

  private static void trim(
      Map<CapacityPool, Integer> mix, List<CapacityOffer> offers, Needs needs) {
    List<CapacityOffer> dearest = new ArrayList<>(offers);
    dearest.sort((a, b) -> Double.compare(b.pricePerHour(), a.pricePerHour()));
    double missing = needs.missing(mix);
    for (CapacityOffer offer : dearest) {
      int count = mix.getOrDefault(offer.pool(), 0);
      while (count > 0) {
        mix.put(offer.pool(), count - 1);
        if (needs.missing(mix) > missing + ROUNDING || needs.tooFew(mix)) {
          mix.put(offer.pool(), count);
          break;
        }
        count--;
      }
      mix.remove(offer.pool(), 0);
    }
  }

  /**
   * What a mix lacks: the squared shortfalls at the loss of each domain and of the on-demand floor.
   * Squares make the greedy choice fill the worst loss first.
   */
  private static final class Needs {
    private final Map<CapacityPool, CapacityOffer> byPool = new HashMap<>();
    private final List<String> domains = new ArrayList<>();
    private final double demand;
    private final CapacityBounds bounds;
    private final boolean hasOnDemand;

    Needs(List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
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

    double gain(Map<CapacityPool, Integer> mix, CapacityOffer offer) {
      double before = missing(mix);
      if (before <= ROUNDING) {
        return tooFew(mix) ? offer.requestsPerSecond() : 0;
      }
      Map<CapacityPool, Integer> more = new HashMap<>(mix);
      more.merge(offer.pool(), 1, Integer::sum);
      return before - missing(more);
    }

    boolean allowed(Map<CapacityPool, Integer> mix, CapacityOffer offer) {
      return count(mix) < bounds.maxInstances()
          && price(mix) + offer.pricePerHour() <= bounds.maxPricePerHour() + ROUNDING;
    }

    boolean tooFew(Map<CapacityPool, Integer> mix) {
      return count(mix) < bounds.minInstances();
    }

    double missing(Map<CapacityPool, Integer> mix) {
      double missing = 0;
      for (String lost : domains) {
        missing += square(demand - capacity(mix, lost, false));
      }
      if (hasOnDemand) {
        missing += square(bounds.minOnDemandShare() * demand - capacity(mix, "", true));
      }
      return missing;
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
