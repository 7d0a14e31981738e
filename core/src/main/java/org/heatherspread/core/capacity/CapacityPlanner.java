package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.capacity.FleetInstance.State;

/**
 * Plans the changes to the fleet of one service from the demand, scheduled peaks and offers.
 *
 * <p>Scales out immediately. Scales in only after capacity was in surplus for {@link
 * CapacityBounds#scaleInDelay()}, and never below the capacity that covers the demand after the
 * loss of any one failure domain. An instance is drained before it is stopped, and replacements
 * serve before anything is drained. A pool that refused a start is skipped with exponential
 * backoff, so that capacity is bought from other failure domains and instance classes meanwhile.
 * Times are in milliseconds since the epoch. Not thread-safe.
 */
public final class CapacityPlanner {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final long NO_SURPLUS = Long.MIN_VALUE;

  private final CapacityBounds bounds;
  private final List<DemandPeak> calendar;
  private final Map<CapacityPool, Refusal> refusals = new HashMap<>();
  private long surplusSince = NO_SURPLUS;

  /** Consecutive refusals of one pool, and the end of its backoff. */
  private record Refusal(int count, long untilMillis) {}

  private CapacityPlanner(CapacityBounds bounds, List<DemandPeak> calendar) {
    this.bounds = bounds;
    this.calendar = List.copyOf(calendar);
  }

  /** Creates a planner with bounds confirmed by an operator and a calendar of scheduled peaks. */
  public static CapacityPlanner create(CapacityBounds bounds, List<DemandPeak> calendar) {
    return new CapacityPlanner(bounds, calendar);
  }

  /** Records that the platform refused to start an instance of a pool. */
  public void recordRefusal(CapacityPool pool, long nowMillis) {
    int count = refusals.containsKey(pool) ? refusals.get(pool).count() + 1 : 1;
    long backoff = bounds.refusalBackoff().toMillis() << Math.min(count - 1, MAX_BACKOFF_DOUBLINGS);
    refusals.put(pool, new Refusal(count, nowMillis + backoff));
  }

  /** Records a successful start, which ends the backoff of the pool. */
  public void recordStart(CapacityPool pool) {
    refusals.remove(pool);
  }

  /**
   * Returns the demand to plan for in requests per second: the measured demand, or that of a
   * scheduled peak from the moment on at which starts must begin to be ready for it.
   */
  public double demand(double measured, List<CapacityOffer> offers, long nowMillis) {
    double maxStartSeconds = 0;
    for (CapacityOffer offer : offers) {
      maxStartSeconds = Math.max(maxStartSeconds, offer.startSeconds());
    }
    double demand = measured;
    for (DemandPeak peak : calendar) {
      double rounds = (double) bounds.maxInstances() / Math.max(1, bounds.maxStartsPerRound());
      long leadMillis = (long) (maxStartSeconds * rounds * MILLIS_PER_SECOND);
      if (nowMillis >= peak.fromMillis() - leadMillis && nowMillis < peak.untilMillis()) {
        demand = Math.max(demand, peak.requestsPerSecond());
      }
    }
    return demand;
  }

  /**
   * Returns the next steps, in the order in which they are to be carried out.
   *
   * @param fleet all instances of the service
   * @param offers all offers of the platform
   * @param measured current demand in requests per second
   */
  public List<CapacityStep> nextSteps(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double measured, long nowMillis) {
    double demand = demand(measured, offers, nowMillis);
    List<CapacityStep> steps = new ArrayList<>();
    for (FleetInstance instance : fleet) {
      if (instance.state() == State.DRAINING && instance.inProgress() == 0) {
        steps.add(new CapacityStep.Stop(instance.id()));
      }
    }
    if (!MixPlanner.coversDemand(count(fleet, false), offers, demand, bounds)
        || countPlanned(fleet) < bounds.minInstances()) {
      surplusSince = NO_SURPLUS;
      steps.addAll(planStarts(fleet, offers, demand, nowMillis));
      return steps;
    }
    steps.addAll(planDrains(fleet, offers, demand, nowMillis));
    return steps;
  }

  private List<CapacityStep> planStarts(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand, long nowMillis) {
    Map<CapacityPool, Integer> held = count(fleet, false);
    List<CapacityOffer> available = new ArrayList<>();
    for (CapacityOffer offer : offers) {
      Refusal refusal = refusals.get(offer.pool());
      if (refusal == null || nowMillis >= refusal.untilMillis()) {
        available.add(offer);
      }
    }
    List<CapacityStep> steps = new ArrayList<>();
    int starting = 0;
    for (FleetInstance instance : fleet) {
      starting += instance.state() == State.STARTING ? 1 : 0;
    }
    for (CapacityPool pool : MixPlanner.selectAdditions(held, offers, available, demand, bounds)) {
      if (starting + steps.size() >= bounds.maxStartsPerRound()) {
        break;
      }
      steps.add(new CapacityStep.Start(pool));
    }
    return steps;
  }

  private List<CapacityStep> planDrains(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand, long nowMillis) {
    FleetInstance surplus = findSurplus(fleet, offers, demand * (1 + bounds.surplusShare()));
    if (surplus == null) {
      surplusSince = NO_SURPLUS;
      return List.of();
    }
    if (surplusSince == NO_SURPLUS) {
      surplusSince = nowMillis;
    }
    if (nowMillis - surplusSince < bounds.scaleInDelay().toMillis()) {
      return List.of();
    }
    return List.of(new CapacityStep.Drain(surplus.id()));
  }

  /** Returns the most expensive serving instance that the demand does not need, or null. */
  private FleetInstance findSurplus(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand) {
    if (countPlanned(fleet) <= bounds.minInstances()) {
      return null;
    }
    Map<CapacityPool, Double> prices = new HashMap<>();
    for (CapacityOffer offer : offers) {
      prices.put(offer.pool(), offer.effectivePrice());
    }
    Map<CapacityPool, Integer> serving = count(fleet, true);
    FleetInstance mostExpensive = null;
    for (FleetInstance instance : fleet) {
      if (instance.state() != State.SERVING) {
        continue;
      }
      Map<CapacityPool, Integer> without = new HashMap<>(serving);
      without.merge(instance.pool(), -1, Integer::sum);
      double price = prices.getOrDefault(instance.pool(), Double.MAX_VALUE);
      boolean moreExpensive =
          mostExpensive == null
              || price > prices.getOrDefault(mostExpensive.pool(), Double.MAX_VALUE);
      if (moreExpensive && MixPlanner.coversDemand(without, offers, demand, bounds)) {
        mostExpensive = instance;
      }
    }
    return mostExpensive;
  }

  private static Map<CapacityPool, Integer> count(List<FleetInstance> fleet, boolean servingOnly) {
    Map<CapacityPool, Integer> count = new HashMap<>();
    for (FleetInstance instance : fleet) {
      if (servingOnly ? instance.state() == State.SERVING : instance.isPlanned()) {
        count.merge(instance.pool(), 1, Integer::sum);
      }
    }
    return count;
  }

  private static int countPlanned(List<FleetInstance> fleet) {
    int count = 0;
    for (FleetInstance instance : fleet) {
      count += instance.isPlanned() ? 1 : 0;
    }
    return count;
  }
}
