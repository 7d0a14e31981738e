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
  public static Map<Machine, Integer> plan(
      List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
    Map<Machine, Integer> mix = new HashMap<>();
    for (Machine machine : complete(Map.of(), offers, offers, demand, bounds)) {
      mix.merge(machine, 1, Integer::sum);
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
  public static List<Machine> complete(
      Map<Machine, Integer> held,
      List<CapacityOffer> offers,
      List<CapacityOffer> open,
      double demand,
      CapacityBounds bounds) {
    Map<Machine, Integer> mix = new HashMap<>(held);
    Needs needs = new Needs(offers, demand, bounds);
    List<Machine> added = new ArrayList<>();
    CapacityOffer next = best(mix, open, needs);
    while (next != null) {
      mix.merge(next.machine(), 1, Integer::sum);
      added.add(next.machine());
      next = best(mix, open, needs);
    }
    return added;
  }

  private static CapacityOffer best(
      Map<Machine, Integer> mix, List<CapacityOffer> open, Needs needs) {
    CapacityOffer best = null;
    double bestValue = 0;
    for (CapacityOffer offer : open) {
      double value = needs.gain(mix, offer) / offer.pricePerHour() * offer.usefulShare();
      if (value > bestValue + ROUNDING && needs.allowed(mix, offer)) {
        best = offer;
        bestValue = value;
      }
    }
    return best;
  }

  /** Tells whether a mix answers the demand also with any one domain gone. */
  public static boolean covers(
      Map<Machine, Integer> mix, List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
    return new Needs(offers, demand, bounds).missing(mix) <= ROUNDING;
  }

  private static void trim(Map<Machine, Integer> mix, List<CapacityOffer> offers, Needs needs) {
    List<CapacityOffer> dearest = new ArrayList<>(offers);
    dearest.sort((a, b) -> Double.compare(b.pricePerHour(), a.pricePerHour()));
    double missing = needs.missing(mix);
    for (CapacityOffer offer : dearest) {
      int count = mix.getOrDefault(offer.machine(), 0);
      while (count > 0) {
        mix.put(offer.machine(), count - 1);
        if (needs.missing(mix) > missing + ROUNDING || needs.tooFew(mix)) {
          mix.put(offer.machine(), count);
          break;
        }
        count--;
      }
      mix.remove(offer.machine(), 0);
    }
  }

  /**
   * What a mix lacks: the squared shortfalls at the loss of each domain and of the on-demand floor.
   * Squares make the greedy choice fill the worst loss first.
   */
  private static final class Needs {
    private final Map<Machine, CapacityOffer> byMachine = new HashMap<>();
    private final List<String> domains = new ArrayList<>();
    private final double demand;
    private final CapacityBounds bounds;
    private final boolean hasOnDemand;

    Needs(List<CapacityOffer> offers, double demand, CapacityBounds bounds) {
      this.demand = demand;
      this.bounds = bounds;
      boolean found = false;
      for (CapacityOffer offer : offers) {
        byMachine.put(offer.machine(), offer);
        found |= offer.machine().market() == Market.ON_DEMAND;
        if (!domains.contains(offer.machine().domain())) {
          domains.add(offer.machine().domain());
        }
      }
      hasOnDemand = found;
    }

    double gain(Map<Machine, Integer> mix, CapacityOffer offer) {
      double before = missing(mix);
      if (before <= ROUNDING) {
        return tooFew(mix) ? offer.requestsPerSecond() : 0;
      }
      Map<Machine, Integer> more = new HashMap<>(mix);
      more.merge(offer.machine(), 1, Integer::sum);
      return before - missing(more);
    }

    boolean allowed(Map<Machine, Integer> mix, CapacityOffer offer) {
      return count(mix) < bounds.most()
          && price(mix) + offer.pricePerHour() <= bounds.mostPricePerHour() + ROUNDING;
    }

    boolean tooFew(Map<Machine, Integer> mix) {
      return count(mix) < bounds.fewest();
    }

    double missing(Map<Machine, Integer> mix) {
      double missing = 0;
      for (String lost : domains) {
        missing += square(demand - capacity(mix, lost, false));
      }
      if (hasOnDemand) {
        missing += square(bounds.onDemandShare() * demand - capacity(mix, "", true));
      }
      return missing;
    }

    private static double square(double shortfall) {
      double positive = Math.max(0, shortfall);
      return positive * positive;
    }

    private double capacity(Map<Machine, Integer> mix, String lost, boolean onDemandOnly) {
      double sum = 0;
      for (Map.Entry<Machine, Integer> entry : mix.entrySet()) {
        Machine machine = entry.getKey();
        CapacityOffer offer = byMachine.get(machine);
        boolean counts = !onDemandOnly || machine.market() == Market.ON_DEMAND;
        if (offer != null && counts && !machine.domain().equals(lost)) {
          sum += entry.getValue() * offer.requestsPerSecond();
        }
      }
      return sum;
    }

    private static int count(Map<Machine, Integer> mix) {
      int count = 0;
      for (int value : mix.values()) {
        count += value;
      }
      return count;
    }

    private double price(Map<Machine, Integer> mix) {
      double price = 0;
      for (Map.Entry<Machine, Integer> entry : mix.entrySet()) {
        CapacityOffer offer = byMachine.get(entry.getKey());
        price += offer == null ? 0 : entry.getValue() * offer.pricePerHour();
      }
      return price;
    }
  }
}
