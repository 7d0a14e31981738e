package org.heatherspread.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.heatherspread.core.capacity.FleetInstance.State;
import org.heatherspread.core.model.Market;
import org.junit.jupiter.api.Test;

class CapacityPlannerTest {
  private static final long ROUND_MILLIS = 10_000;
  private static final CapacityBounds BOUNDS = CapacityBounds.of(2, 60, 1_000);

  @Property(seed = "101", tries = 200)
  void mixCoversDemandAfterLossOfAnyDomain(
      @ForAll @IntRange(min = 2, max = 5) int domains,
      @ForAll @DoubleRange(min = 0, max = 100) double demand,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    List<CapacityOffer> offers = offers(domains, new Random(seed));
    CapacityBounds bounds = CapacityBounds.of(0, 1_000, 1e9);

    Map<CapacityPool, Integer> mix = MixPlanner.plan(offers, demand, bounds);

    for (int lost = 0; lost < domains; lost++) {
      double left = 0;
      for (CapacityOffer offer : offers) {
        if (!offer.pool().domain().equals("d" + lost)) {
          left += mix.getOrDefault(offer.pool(), 0) * offer.requestsPerSecond();
        }
      }
      assertThat(left).isGreaterThanOrEqualTo(demand - 1e-6);
    }
    assertThat(MixPlanner.coversDemand(mix, offers, demand, bounds)).isTrue();
  }

  @Test
  void cheapestClassIsBoughtAndOnDemandFloorHolds() {
    List<CapacityOffer> offers = new ArrayList<>();
    for (int d = 0; d < 3; d++) {
      offers.add(offer(d, "small", Market.RECLAIMABLE, 0.4, 10));
      offers.add(offer(d, "large", Market.RECLAIMABLE, 3.0, 20));
      offers.add(offer(d, "small", Market.ON_DEMAND, 1.0, 10));
    }
    Map<CapacityPool, Integer> mix = MixPlanner.plan(offers, 60, CapacityBounds.of(0, 100, 1e9));
    int onDemand = 0;
    for (Map.Entry<CapacityPool, Integer> entry : mix.entrySet()) {
      assertThat(entry.getKey().machineClass()).isEqualTo("small");
      onDemand += entry.getKey().market() == Market.ON_DEMAND ? entry.getValue() : 0;
    }
    assertThat(onDemand).isEqualTo(2);
    assertThat(mix.values().stream().mapToInt(i -> i).sum()).isEqualTo(9);
  }

  @Test
  void refusedPoolIsSkippedUntilItsBackoffEnds() {
    List<CapacityOffer> offers = new ArrayList<>();
    for (int d = 0; d < 3; d++) {
      offers.add(offer(d, "small", Market.RECLAIMABLE, d == 0 ? 0.1 : 0.4, 10));
    }
    CapacityPlanner planner = CapacityPlanner.create(BOUNDS, List.of());
    CapacityPool cheap = offers.get(0).pool();
    planner.recordRefusal(cheap, 0);
    assertThat(planner.nextSteps(List.of(), offers, 20, 0))
        .isNotEmpty()
        .doesNotContain(new CapacityStep.Start(cheap));
    long after = BOUNDS.refusalBackoff().toMillis();
    assertThat(planner.nextSteps(List.of(), offers, 20, after))
        .contains(new CapacityStep.Start(cheap));
  }

  @Test
  void scheduledPeakIsPlannedForAheadOfTime() {
    List<CapacityOffer> offers = offers(4, new Random(1));
    DemandPeak peak = new DemandPeak("march deadline", 10_000_000, 20_000_000, 80);
    CapacityPlanner planner = CapacityPlanner.create(BOUNDS, List.of(peak));
    assertThat(planner.demand(5, offers, 0)).isEqualTo(5);
    assertThat(planner.demand(5, offers, 9_900_000)).isEqualTo(80);
    assertThat(planner.demand(5, offers, 20_000_000)).isEqualTo(5);
  }

  @Property(seed = "102", tries = 30)
  void fleetFollowsDemandAndDrainsBeforeStopping(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    List<CapacityOffer> offers = offers(4, random);
    SimulatedFleet simulated =
        new SimulatedFleet(CapacityPlanner.create(BOUNDS, List.of()), offers, random);
    for (int phase = 0; phase < 4; phase++) {
      double demand = 5 + random.nextInt(50);
      simulated.run(200, demand);
      assertThat(MixPlanner.coversDemand(simulated.serving(), offers, demand, BOUNDS)).isTrue();
      int changes = simulated.changes;
      simulated.run(100, demand);
      assertThat(simulated.changes).isEqualTo(changes);
    }
  }

  private static List<CapacityOffer> offers(int domains, Random random) {
    List<CapacityOffer> offers = new ArrayList<>();
    for (int d = 0; d < domains; d++) {
      double price = 0.2 + random.nextDouble();
      double rate = 2 + random.nextInt(10);
      offers.add(offer(d, "small", Market.RECLAIMABLE, price, rate));
      offers.add(offer(d, "large", Market.RECLAIMABLE, 3 * price, 2.5 * rate));
      offers.add(offer(d, "small", Market.ON_DEMAND, 2.5 * price, rate));
    }
    return offers;
  }

  private static CapacityOffer offer(
      int domain, String name, Market market, double price, double rate) {
    double reclaims = market == Market.RECLAIMABLE ? 0.05 : 0;
    return new CapacityOffer(
        new CapacityPool("d" + domain, name, market), price, rate, reclaims, 60);
  }

  /** Simulates a fleet that applies the steps, with start delays and refused starts. */
  private static final class SimulatedFleet {
    private final CapacityPlanner planner;
    private final List<CapacityOffer> offers;
    private final Random random;
    private final Map<String, FleetInstance> fleet = new HashMap<>();
    private final Map<String, Integer> age = new HashMap<>();
    private final Set<String> drained = new HashSet<>();
    private long now;
    private int nextId;
    private int changes;

    SimulatedFleet(CapacityPlanner planner, List<CapacityOffer> offers, Random random) {
      this.planner = planner;
      this.offers = offers;
      this.random = random;
    }

    void run(int rounds, double demand) {
      for (int i = 0; i < rounds; i++) {
        now += ROUND_MILLIS;
        for (CapacityStep step :
            planner.nextSteps(List.copyOf(fleet.values()), offers, demand, now)) {
          changes++;
          apply(step);
        }
        for (FleetInstance instance : List.copyOf(fleet.values())) {
          advance(instance);
        }
      }
    }

    private void apply(CapacityStep step) {
      if (step instanceof CapacityStep.Start start) {
        if (random.nextInt(5) == 0) {
          planner.recordRefusal(start.pool(), now);
          return;
        }
        planner.recordStart(start.pool());
        put("i" + nextId++, start.pool(), State.STARTING, 0);
      } else if (step instanceof CapacityStep.Drain drain) {
        FleetInstance instance = fleet.get(drain.instanceId());
        assertThat(instance.state()).isEqualTo(State.SERVING);
        drained.add(instance.id());
        put(instance.id(), instance.pool(), State.DRAINING, 1 + random.nextInt(3));
      } else if (step instanceof CapacityStep.Stop stop) {
        assertThat(drained).contains(stop.instanceId());
        assertThat(fleet.get(stop.instanceId()).inProgress()).isZero();
        fleet.remove(stop.instanceId());
      }
    }

    private void advance(FleetInstance instance) {
      int rounds = age.merge(instance.id(), 1, Integer::sum);
      if (instance.state() == State.STARTING && rounds > 6) {
        put(instance.id(), instance.pool(), State.SERVING, 0);
      } else if (instance.state() == State.DRAINING && instance.inProgress() > 0) {
        put(instance.id(), instance.pool(), State.DRAINING, instance.inProgress() - 1);
      }
    }

    private void put(String id, CapacityPool pool, State state, int inProgress) {
      fleet.put(id, new FleetInstance(id, pool, state, inProgress));
    }

    Map<CapacityPool, Integer> serving() {
      Map<CapacityPool, Integer> count = new HashMap<>();
      for (FleetInstance instance : fleet.values()) {
        if (instance.state() == State.SERVING) {
          count.merge(instance.pool(), 1, Integer::sum);
        }
      }
      return count;
    }
  }
}
