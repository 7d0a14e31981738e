package org.heatherspread.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Measures costs at several sizes, extrapolates each to the design size by a linear fit, and
 * compares it with its budget. The capacity model in {@code docs/CAPACITY.md} is based on these
 * fits.
 *
 * <p>Stateless.
 */
public final class CapacityBench {
  private CapacityBench() {}

  /** Runs the measurement; returns 0 if all budgets hold, otherwise 1. */
  public static int run(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    parser
        .accepts("seed", "seed of the random number generators")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(1L);
    parser.accepts("no-processes", "skip the fleets of daemon processes");
    OptionSet options = parser.parse(args);
    long seed = (Long) options.valueOf("seed");
    List<CostMeasurement> costs = new ArrayList<>(InProcessCosts.measureAll(seed));
    if (!options.has("no-processes")) {
      costs.addAll(IdleFleetCosts.measureAll());
    }
    return report(costs, seed);
  }

  private static int report(List<CostMeasurement> costs, long seed) {
    System.out.printf(
        "%-46s %-10s %-28s %12s %9s %6s %9s %12s %10s%n",
        "cost", "size", "measured", "base", "per unit", "fit", "design", "at design", "budget");
    ObjectNode result = new ObjectMapper().createObjectNode();
    result.put("bench", "capacity").put("seed", seed);
    ArrayNode rows = result.putArray("costs");
    boolean boundsHeld = true;
    for (CostMeasurement cost : costs) {
      cost.print();
      cost.writeTo(rows.addObject());
      boundsHeld &= cost.withinBudget();
    }
    result.put("bounds_held", boundsHeld);
    System.out.println(result);
    return boundsHeld ? 0 : 1;
  }
}
