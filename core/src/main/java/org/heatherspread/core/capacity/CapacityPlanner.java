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
  private final List<Peak> calendar;
  private final Map<Machine, Refusal> refusals = new HashMap<>();
  private long unneededSince = NEVER;

  /** Refusals of one machine in a row, and until when it is left out. */
  private record Refusal(int count, long untilMillis) {}

  private CapacityPlanner(CapacityBounds bounds, List<Peak> calendar) {
    this.bounds = bounds;
    this.calendar = List.copyOf(calendar);
  }

  /** Creates a planner within confirmed bounds. */
  public static CapacityPlanner create(CapacityBounds bounds, List<Peak> calendar) {
    return new CapacityPlanner(bounds, calendar);
  }

  /** Notes that the platform refused to start a machine. */
  public void refused(Machine machine, long nowMillis) {
    int count = refusals.containsKey(machine) ? refusals.get(machine).count() + 1 : 1;
    long pause = bounds.refusalPause().toMillis() << Math.min(count - 1, LONGEST_DOUBLING);
    refusals.put(machine, new Refusal(count, nowMillis + pause));
  }

  /** Notes that a machine was started after all. */
  public void started(Machine machine) {
    refusals.remove(machine);
  }

  /** Returns the demand to plan for: the measured one, or a peak that starts must be ready for. */
  public double demand(double measured, List<CapacityOffer> offers, long nowMillis) {
    double slowest = 0;
    for (CapacityOffer offer : offers) {
      slowest = Math.max(slowest, offer.startSeconds());
    }
    double demand = measured;
    for (Peak peak : calendar) {
      double rounds = (double) bounds.most() / Math.max(1, bounds.startsPerRound());
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
  public List<CapacityStep> steps(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double measured, long nowMillis) {
    double demand = demand(measured, offers, nowMillis);
    List<CapacityStep> steps = new ArrayList<>();
    for (FleetInstance instance : fleet) {
      if (instance.state() == State.DRAINING && instance.inProgress() == 0) {
        steps.add(new CapacityStep.Stop(instance.id()));
      }
    }
    if (!MixPlanner.covers(count(fleet, false), offers, demand, bounds)
        || planned(fleet) < bounds.fewest()) {
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
    Map<Machine, Integer> held = count(fleet, false);
    List<CapacityOffer> open = new ArrayList<>();
    for (CapacityOffer offer : offers) {
      Refusal refusal = refusals.get(offer.machine());
      if (refusal == null || nowMillis >= refusal.untilMillis()) {
        open.add(offer);
      }
    }
    List<CapacityStep> steps = new ArrayList<>();
    int starting = 0;
    for (FleetInstance instance : fleet) {
      starting += instance.state() == State.STARTING ? 1 : 0;
    }
    for (Machine machine : MixPlanner.complete(held, offers, open, demand, bounds)) {
      if (starting + steps.size() >= bounds.startsPerRound()) {
        break;
      }
      steps.add(new CapacityStep.Start(machine));
    }
    return steps;
  }

  // ---- shrinking ----

  private List<CapacityStep> drains(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand, long nowMillis) {
    FleetInstance surplus = surplus(fleet, offers, demand * (1 + bounds.slack()));
    if (surplus == null) {
      unneededSince = NEVER;
      return List.of();
    }
    if (unneededSince == NEVER) {
      unneededSince = nowMillis;
    }
    if (nowMillis - unneededSince < bounds.shrinkAfter().toMillis()) {
      return List.of();
    }
    return List.of(new CapacityStep.Drain(surplus.id()));
  }

  /** The dearest serving instance without which the serving ones still cover the demand. */
  private FleetInstance surplus(
      List<FleetInstance> fleet, List<CapacityOffer> offers, double demand) {
    if (planned(fleet) <= bounds.fewest()) {
      return null;
    }
    Map<Machine, Double> prices = new HashMap<>();
    for (CapacityOffer offer : offers) {
      prices.put(offer.machine(), offer.pricePerUsefulRequest());
    }
    Map<Machine, Integer> serving = count(fleet, true);
    FleetInstance best = null;
    for (FleetInstance instance : fleet) {
      if (instance.state() != State.SERVING) {
        continue;
      }
      Map<Machine, Integer> without = new HashMap<>(serving);
      without.merge(instance.machine(), -1, Integer::sum);
      double price = prices.getOrDefault(instance.machine(), Double.MAX_VALUE);
      boolean dearer =
          best == null || price > prices.getOrDefault(best.machine(), Double.MAX_VALUE);
      if (dearer && MixPlanner.covers(without, offers, demand, bounds)) {
        best = instance;
      }
    }
    return best;
  }

  private static Map<Machine, Integer> count(List<FleetInstance> fleet, boolean servingOnly) {
    Map<Machine, Integer> count = new HashMap<>();
    for (FleetInstance instance : fleet) {
      if (servingOnly ? instance.state() == State.SERVING : instance.planned()) {
        count.merge(instance.machine(), 1, Integer::sum);
      }
    }
    return count;
  }

  private static int planned(List<FleetInstance> fleet) {
    int count = 0;
    for (FleetInstance instance : fleet) {
      count += instance.planned() ? 1 : 0;
    }
    return count;
  }
}
