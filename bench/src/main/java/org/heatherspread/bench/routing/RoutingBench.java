package org.heatherspread.bench.routing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.heatherspread.bench.plot.SvgPlot;
import org.heatherspread.core.routing.RoutingWeights;

/**
 * Compares routing policies at equal load in an in-process model of endpoints. For each policy it
 * searches the least fleet that answers the target share of requests within the latency target, and
 * then compares all policies on the least fleet of the best baseline; see {@code
 * docs/decisions/0007-routing.md}. Stateless.
 */
public final class RoutingBench {
  private static final double TARGET_SHARE = 0.95;
  private static final double DURATION_MILLIS = 120_000;
  private static final double REQUESTS_PER_SECOND = 60;
  private static final int SEEDS = 5;
  private static final int MOST_ENDPOINTS = 32;
  private static final double COST_GOAL = 0.75;
  private static final double RECOMPUTE_GOAL = 0.60;
  private static final double OTHER_MEASURE_GOAL = 1.05;
  private static final double GOODPUT_GOAL = 0.95;
  private static final String OURS = "cost";

  /** A policy's least fleet and its outcomes there, one for each seed. */
  private record Result(String policy, int leastFleet, List<Outcome> atLeast) {}

  private final long firstSeed;
  private final Path plots;
  private final List<String> json = new ArrayList<>();
  private boolean goalsMet = true;

  private RoutingBench(long firstSeed, Path plots) {
    this.firstSeed = firstSeed;
    this.plots = plots;
  }

  /**
   * Runs the comparison with {@code --seed N} and writes plots to {@code --plots DIR}; returns 0
   * where all goals are met, 2 where one is missed.
   */
  public static int run(String[] args) {
    long seed = 1;
    Path plots = null;
    for (int i = 0; i + 1 < args.length; i += 2) {
      if (args[i].equals("--seed")) {
        seed = Long.parseLong(args[i + 1]);
      } else if (args[i].equals("--plots")) {
        plots = Path.of(args[i + 1]);
      }
    }
    RoutingBench bench = new RoutingBench(seed, plots);
    bench.deployment(Workload.patikoop(), RoutingWeights.costAtTarget());
    bench.deployment(Workload.oberland(), RoutingWeights.recomputedTokens());
    System.out.println(
        "{\"bench\":\"routing\",\"seed\":" + seed + "," + String.join(",", bench.json) + "}");
    return bench.goalsMet ? 0 : 1;
  }

  private static Map<String, Policy.Factory> baselines() {
    Map<String, Policy.Factory> policies = new LinkedHashMap<>();
    policies.put("round-robin", BaselinePolicies::roundRobin);
    policies.put("least-connections", BaselinePolicies::leastConnections);
    policies.put("two-choices", BaselinePolicies::twoChoices);
    policies.put("rendezvous-24", BaselinePolicies.rendezvous(24));
    policies.put("rendezvous-40", BaselinePolicies.rendezvous(40));
    policies.put("rendezvous-60", BaselinePolicies.rendezvous(60));
    return policies;
  }

  private void deployment(Workload workload, RoutingWeights weights) {
    Map<String, Policy.Factory> policies = baselines();
    policies.put(OURS, CostPolicy.factory(weights, false));
    policies.put("cost+rejection", CostPolicy.factory(weights, true));
    List<Result> results = new ArrayList<>();
    for (Map.Entry<String, Policy.Factory> entry : policies.entrySet()) {
      results.add(leastFleet(entry.getKey(), workload, entry.getValue()));
    }
    Result best = bestBaseline(results);
    System.out.printf(
        Locale.ROOT,
        "%n%s: %.0f requests/s mean, %d seeds; equal fleet = %d endpoints (least of %s)%n",
        workload.name(),
        REQUESTS_PER_SECOND,
        SEEDS,
        best.leastFleet,
        best.policy);
    System.out.printf(
        "%-18s %6s %22s %16s %22s %8s | at the equal fleet: %7s %16s %8s%n",
        "policy",
        "fleet",
        "cost/1000 (spread)",
        "share",
        "recomputed/request",
        "Jain",
        "share",
        "recomputed",
        "Jain");
    Map<String, List<Outcome>> equal = new LinkedHashMap<>();
    for (Result result : results) {
      Policy.Factory factory = policies.get(result.policy);
      equal.put(result.policy, runs(workload, factory, best.leastFleet, REQUESTS_PER_SECOND));
      row(result, equal.get(result.policy));
    }
    goals(workload, weights, results, best, equal);
    plot(workload, results, equal);
    IndexComparison.print(workload, firstSeed);
  }

  /** Returns the least fleet, or the largest tried where no fleet meets the target. */
  private Result leastFleet(String name, Workload workload, Policy.Factory factory) {
    int low = 4;
    int high = MOST_ENDPOINTS;
    while (low < high) {
      int middle = (low + high) / 2;
      if (meets(runs(workload, factory, middle, REQUESTS_PER_SECOND))) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return new Result(name, low, runs(workload, factory, low, REQUESTS_PER_SECOND));
  }

  private static boolean meets(List<Outcome> outcomes) {
    return mean(outcomes, Outcome::share) >= TARGET_SHARE;
  }

  private List<Outcome> runs(
      Workload workload, Policy.Factory factory, int endpoints, double perSecond) {
    return IntStream.range(0, SEEDS)
        .parallel()
        .mapToObj(i -> simulate(workload, factory, endpoints, perSecond, firstSeed + i))
        .toList();
  }

  private static Outcome simulate(
      Workload workload, Policy.Factory factory, int endpoints, double perSecond, long seed) {
    List<SimRequest> requests = workload.requests(seed, DURATION_MILLIS, perSecond);
    return new Simulation(endpoints, EngineSpec.typical(), requests, DURATION_MILLIS, factory, seed)
        .run();
  }

  private static Result bestBaseline(List<Result> results) {
    Result best = null;
    for (Result result : results) {
      boolean ours = result.policy.startsWith(OURS);
      if (ours || !meets(result.atLeast)) {
        continue;
      }
      if (best == null || cost(result.atLeast) < cost(best.atLeast)) {
        best = result;
      }
    }
    return best == null ? results.get(0) : best;
  }

  private static void row(Result result, List<Outcome> equal) {
    List<Outcome> own = result.atLeast;
    String fleet = meets(own) ? Integer.toString(result.leastFleet) : ">" + MOST_ENDPOINTS;
    System.out.printf(
        Locale.ROOT,
        "%-18s %6s %8.4f (%.4f-%.4f) %.3f(%.3f-%.3f) %7.0f (%6.0f-%6.0f) %8.3f | %27.3f %16.0f"
            + " %8.3f%n",
        result.policy,
        fleet,
        cost(own),
        least(own, Outcome::costPerThousand),
        most(own, Outcome::costPerThousand),
        mean(own, Outcome::share),
        least(own, Outcome::share),
        most(own, Outcome::share),
        mean(own, Outcome::recomputedPerRequest),
        least(own, Outcome::recomputedPerRequest),
        most(own, Outcome::recomputedPerRequest),
        mean(own, Outcome::fairness),
        mean(equal, Outcome::share),
        mean(equal, Outcome::recomputedPerRequest),
        mean(equal, Outcome::fairness));
  }

  private void goals(
      Workload workload,
      RoutingWeights weights,
      List<Result> results,
      Result best,
      Map<String, List<Outcome>> equal) {
    double least = Double.MAX_VALUE;
    double leastAny = Double.MAX_VALUE;
    Result ours = null;
    for (Result result : results) {
      if (result.policy.equals(OURS)) {
        ours = result;
      }
      if (result.policy.startsWith(OURS)) {
        continue;
      }
      double recomputed = mean(equal.get(result.policy), Outcome::recomputedPerRequest);
      leastAny = Math.min(leastAny, recomputed);
      if (meets(equal.get(result.policy))) {
        least = Math.min(least, recomputed);
      }
    }
    double mine = mean(equal.get(OURS), Outcome::recomputedPerRequest);
    double costRatio = cost(ours.atLeast) / cost(best.atLeast);
    double recomputedRatio = mine / least;
    boolean patikoop = workload.name().equals("patikoop");
    goal(workload, "cost_ratio", costRatio, patikoop ? COST_GOAL : OTHER_MEASURE_GOAL);
    goal(
        workload,
        "recomputed_ratio",
        recomputedRatio,
        patikoop ? OTHER_MEASURE_GOAL : RECOMPUTE_GOAL);
    System.out.printf(
        Locale.ROOT,
        "  for information: recomputed against the best baseline, in target or not: %.2f%n",
        mine / leastAny);
    goodput(workload, weights, ours.leastFleet);
  }

  private void goodput(Workload workload, RoutingWeights weights, int fleet) {
    Policy.Factory rejecting = CostPolicy.factory(weights, true);
    List<Outcome> once = runs(workload, rejecting, fleet, REQUESTS_PER_SECOND);
    List<Outcome> twice = runs(workload, rejecting, fleet, 2 * REQUESTS_PER_SECOND);
    double at = mean(once, Outcome::goodputPerSecond);
    double over = mean(twice, Outcome::goodputPerSecond);
    System.out.printf(
        Locale.ROOT,
        "  goodput on %d endpoints with early rejection: %.1f/s at capacity, %.1f/s at twice,"
            + " fairness %.3f%n",
        fleet,
        at,
        over,
        mean(twice, Outcome::fairness));
    double ratio = over / at;
    boolean met = ratio >= GOODPUT_GOAL;
    report(workload, "goodput_at_twice_capacity", ratio, GOODPUT_GOAL, met);
  }

  private void goal(Workload workload, String name, double value, double bound) {
    report(workload, name, value, bound, value <= bound);
  }

  private void report(Workload workload, String name, double value, double bound, boolean met) {
    goalsMet &= met;
    System.out.printf(
        Locale.ROOT, "  %s: %.3f, bound %.2f: %s%n", name, value, bound, met ? "met" : "MISSED");
    json.add(String.format(Locale.ROOT, "\"%s_%s\":%.4f", workload.name(), name, value));
  }

  private void plot(Workload workload, List<Result> results, Map<String, List<Outcome>> equal) {
    if (plots == null) {
      return;
    }
    SvgPlot cost = SvgPlot.create(workload.name() + ": cost per 1,000 in target", "", "cost");
    SvgPlot tokens =
        SvgPlot.create(workload.name() + ": recomputed tokens per request, equal fleet", "", "");
    for (Result result : results) {
      String name = result.policy.replace("least-connections", "least-conn.");
      if (meets(result.atLeast)) {
        cost.bar(name, cost(result.atLeast));
      }
      tokens.bar(name, mean(equal.get(result.policy), Outcome::recomputedPerRequest));
    }
    write("routing-" + workload.name() + "-cost.svg", cost);
    write("routing-" + workload.name() + "-recomputed.svg", tokens);
  }

  private void write(String file, SvgPlot plot) {
    try {
      Files.createDirectories(plots);
      Files.writeString(plots.resolve(file), plot.render());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static double cost(List<Outcome> outcomes) {
    return mean(outcomes, Outcome::costPerThousand);
  }

  /** One figure of an outcome. */
  @FunctionalInterface
  private interface Figure {
    double of(Outcome outcome);
  }

  private static double mean(List<Outcome> outcomes, Figure figure) {
    return outcomes.stream().mapToDouble(figure::of).average().orElse(0);
  }

  private static double least(List<Outcome> outcomes, Figure figure) {
    return outcomes.stream().mapToDouble(figure::of).min().orElse(0);
  }

  private static double most(List<Outcome> outcomes, Figure figure) {
    return outcomes.stream().mapToDouble(figure::of).max().orElse(0);
  }
}
