package org.heatherspread.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.capacity.FleetInstance.State;

/**
 * Turns demand, known peaks and offers into steps for the fleet of one service, round by round.
 *
 * <p>Grows at once, shrinks only after the capacity was unneeded for a while, and never below what
 * the target needs with any one failure domain gone. An instance is drained before it is stopped,
 * and replacements serve before anything is drained. Machines whose start was refused are left out
 * for a pause that doubles, so that the mix is bought from other domains and classes meanwhile.
 * Times are milliseconds since the epoch. Not safe for use by several threads.
 */
public final class CapacityPlanner {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int LONGEST_DOUBLING = 6;
  private static final long NEVER = Long.MIN_VALUE;

  private final CapacityBounds bounds;
  private final List<DemandPeak> calendar;
  private final Map<CapacityPool, Refusal> refusals = new HashMap<>();
  private long unneededSince = NEVER;

  /** Refusals of one machine in a row, and until when it is left out. */
  private record Refusal(int count, long untilMillis) {}

  private CapacityPlanner(CapacityBounds bounds, List<DemandPeak> calendar) {
    this.bounds = bounds;
    this.calendar = List.copyOf(calendar);
  }

  /** Creates a planner within confirmed bounds. */
  public static CapacityPlanner create(CapacityBounds bounds, List<DemandPeak> calendar) {
    return new CapacityPlanner(bounds, calendar);
  }

  /** Notes that the platform refused to start a machine. */
  public void recordRefusal(CapacityPool pool, long nowMillis) {
    int count = refusals.containsKey(pool) ? refusals.get(pool).count() + 1 : 1;
    long pause = bounds.refusalBackoff().toMillis() << Math.min(count - 1, LONGEST_DOUBLING);
    refusals.put(pool, new Refusal(count, nowMillis + pause));
  }

  /** Notes that a machine was started after all. */
  public void recordStart(CapacityPool pool) {
    refusals.remove(pool);
  }

  /** Returns the demand to plan for: the measured one, or a peak that starts must be ready for. */
  public double demand(double measured, List<CapacityOffer> offers, long nowMillis) {
    double slowest = 0;
    for (CapacityOffer offer : offers) {
      slowest = Math.max(slowest, offer.startSeconds());
    }
    double demand = measured;
    for (DemandPeak peak : calendar) {
      double rounds = (double) bounds.maxInstances() / Math.max(1, bounds.maxStartsPerRound());
      long ahead = (long) (slowest * rounds * MILLIS_PER_SECOND);
      if (nowMillis >= peak.fromMillis() - ahead && nowMillis < peak.untilMillis()) {
        demand = Math.max(demand, peak.requestsPerSecond());
      }
    }
    return demand;
  }

  /**
   * Decides the next steps.
   *
   * @param fleet all instances of the service
   * @param offers what the platform sells, with what it gives
   * @param measured requests a second now
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
      unneededSince = NEVER;
      steps.addAll(starts(fleet, offers, demand, nowMillis));
      return steps;
    }
    steps.addAll(drains(fleet, offers, demand, nowMillis));
    return steps;
  }

  // ---- growing ----

  private List<CapacityStep> starts(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand, long nowMillis) {
    Map<CapacityPool, Integer> held = count(fleet, false);
    List<CapacityOffer> open = new ArrayList<>();
    for (CapacityOffer offer : offers) {
      Refusal refusal = refusals.get(offer.pool());
      if (refusal == null || nowMillis >= refusal.untilMillis()) {
        open.add(offer);
      }
    }
    List<CapacityStep> steps = new ArrayList<>();
    int starting = 0;
    for (FleetInstance instance : fleet) {
      starting += instance.state() == State.STARTING ? 1 : 0;
    }
    for (CapacityPool pool : MixPlanner.selectAdditions(held, offers, open, demand, bounds)) {
      if (starting + steps.size() >= bounds.maxStartsPerRound()) {
        break;
      }
      steps.add(new CapacityStep.Start(pool));
    }
    return steps;
  }

  // ---- shrinking ----

  private List<CapacityStep> drains(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand, long nowMillis) {
    FleetInstance surplus = surplus(fleet, offers, demand * (1 + bounds.surplusShare()));
    if (surplus == null) {
      unneededSince = NEVER;
      return List.of();
    }
    if (unneededSince == NEVER) {
      unneededSince = nowMillis;
    }
    if (nowMillis - unneededSince < bounds.scaleInDelay().toMillis()) {
      return List.of();
    }
    return List.of(new CapacityStep.Drain(surplus.id()));
  }

  /** The dearest serving instance without which the serving ones still cover the demand. */
  private FleetInstance surplus(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand) {
    if (countPlanned(fleet) <= bounds.minInstances()) {
      return null;
    }
    Map<CapacityPool, Double> prices = new HashMap<>();
    for (CapacityOffer offer : offers) {
      prices.put(offer.pool(), offer.effectivePrice());
    }
    Map<CapacityPool, Integer> serving = count(fleet, true);
    FleetInstance best = null;
    for (FleetInstance instance : fleet) {
      if (instance.state() != State.SERVING) {
        continue;
      }
      Map<CapacityPool, Integer> without = new HashMap<>(serving);
      without.merge(instance.pool(), -1, Integer::sum);
      double price = prices.getOrDefault(instance.pool(), Double.MAX_VALUE);
      boolean dearer = best == null || price > prices.getOrDefault(best.pool(), Double.MAX_VALUE);
      if (dearer && MixPlanner.coversDemand(without, offers, demand, bounds)) {
        best = instance;
      }
    }
    return best;
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
