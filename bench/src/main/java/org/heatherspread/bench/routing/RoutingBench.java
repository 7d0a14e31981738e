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
 * Compares routing policies under equal load in an in-process simulation of endpoints. For each
 * policy it finds the smallest fleet that answers the target share of requests within the latency
 * target, then compares all policies on the smallest fleet of the cheapest baseline; see {@code
 * docs/decisions/0007-routing.md}. Not thread-safe.
 */
public final class RoutingBench {
  private static final double TARGET_SHARE = 0.95;
  private static final double DURATION_MILLIS = 120_000;
  private static final double REQUESTS_PER_SECOND = 60;
  private static final int SEED_COUNT = 5;
  private static final int MAX_ENDPOINTS = 32;
  private static final double MAX_COST_RATIO = 0.75;
  private static final double MAX_RECOMPUTED_RATIO = 0.60;
  private static final double MAX_SECONDARY_RATIO = 1.05;
  private static final double MIN_GOODPUT_RATIO = 0.95;
  private static final String COST_POLICY = "cost";

  /** The smallest fleet of a policy and the results on it, one for each seed. */
  private record PolicyResult(
      String policy, int minFleetSize, List<SimulationResult> resultsAtMinFleet) {}

  private final long firstSeed;
  private final Path plotDirectory;
  private final List<String> jsonFields = new ArrayList<>();
  private boolean allGoalsMet = true;

  private RoutingBench(long firstSeed, Path plotDirectory) {
    this.firstSeed = firstSeed;
    this.plotDirectory = plotDirectory;
  }

  /**
   * Runs the comparison. Accepts {@code --seed N} and {@code --plots DIR}, the directory that plots
   * are written to.
   *
   * @return 0 if all goals are met, 1 if one is missed
   */
  public static int run(String[] args) {
    long seed = 1;
    Path plotDirectory = null;
    for (int i = 0; i + 1 < args.length; i += 2) {
      if (args[i].equals("--seed")) {
        seed = Long.parseLong(args[i + 1]);
      } else if (args[i].equals("--plots")) {
        plotDirectory = Path.of(args[i + 1]);
      }
    }
    RoutingBench bench = new RoutingBench(seed, plotDirectory);
    bench.compareOnWorkload(SyntheticWorkload.patikoop(), RoutingWeights.costAtTarget());
    bench.compareOnWorkload(SyntheticWorkload.oberland(), RoutingWeights.recomputedTokens());
    System.out.println(
        "{\"bench\":\"routing\",\"seed\":" + seed + "," + String.join(",", bench.jsonFields) + "}");
    return bench.allGoalsMet ? 0 : 1;
  }

  private static Map<String, RoutingPolicy.Factory> baselines() {
    Map<String, RoutingPolicy.Factory> policies = new LinkedHashMap<>();
    policies.put("round-robin", BaselinePolicies::roundRobin);
    policies.put("least-connections", BaselinePolicies::leastConnections);
    policies.put("two-choices", BaselinePolicies::twoChoices);
    policies.put("rendezvous-24", BaselinePolicies.rendezvous(24));
    policies.put("rendezvous-40", BaselinePolicies.rendezvous(40));
    policies.put("rendezvous-60", BaselinePolicies.rendezvous(60));
    return policies;
  }

  private void compareOnWorkload(SyntheticWorkload workload, RoutingWeights weights) {
    Map<String, RoutingPolicy.Factory> policies = baselines();
    policies.put(COST_POLICY, CostRoutingPolicy.factory(weights, false));
    policies.put("cost+rejection", CostRoutingPolicy.factory(weights, true));
    List<PolicyResult> results = new ArrayList<>();
    for (Map.Entry<String, RoutingPolicy.Factory> entry : policies.entrySet()) {
      results.add(findMinFleet(entry.getKey(), workload, entry.getValue()));
    }
    PolicyResult bestBaseline = findBestBaseline(results);
    System.out.printf(
        Locale.ROOT,
        "%n%s: %.0f requests/s mean, %d seeds; equal fleet = %d endpoints (least of %s)%n",
        workload.name(),
        REQUESTS_PER_SECOND,
        SEED_COUNT,
        bestBaseline.minFleetSize,
        bestBaseline.policy);
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
    Map<String, List<SimulationResult>> equalFleetResults = new LinkedHashMap<>();
    for (PolicyResult result : results) {
      RoutingPolicy.Factory factory = policies.get(result.policy);
      equalFleetResults.put(
          result.policy,
          simulateAllSeeds(workload, factory, bestBaseline.minFleetSize, REQUESTS_PER_SECOND));
      printRow(result, equalFleetResults.get(result.policy));
    }
    checkGoals(workload, weights, results, bestBaseline, equalFleetResults);
    writePlots(workload, results, equalFleetResults);
    PrefixIndexComparison.print(workload, firstSeed);
  }

  /**
   * Returns the smallest fleet that meets the target share, or {@link #MAX_ENDPOINTS} endpoints if
   * none does.
   */
  private PolicyResult findMinFleet(
      String name, SyntheticWorkload workload, RoutingPolicy.Factory factory) {
    int low = 4;
    int high = MAX_ENDPOINTS;
    while (low < high) {
      int middle = (low + high) / 2;
      if (meetsTargetShare(simulateAllSeeds(workload, factory, middle, REQUESTS_PER_SECOND))) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return new PolicyResult(
        name, low, simulateAllSeeds(workload, factory, low, REQUESTS_PER_SECOND));
  }

  private static boolean meetsTargetShare(List<SimulationResult> results) {
    return mean(results, SimulationResult::shareInTarget) >= TARGET_SHARE;
  }

  private List<SimulationResult> simulateAllSeeds(
      SyntheticWorkload workload,
      RoutingPolicy.Factory factory,
      int endpoints,
      double requestsPerSecond) {
    return IntStream.range(0, SEED_COUNT)
        .parallel()
        .mapToObj(i -> simulate(workload, factory, endpoints, requestsPerSecond, firstSeed + i))
        .toList();
  }

  private static SimulationResult simulate(
      SyntheticWorkload workload,
      RoutingPolicy.Factory factory,
      int endpoints,
      double requestsPerSecond,
      long seed) {
    List<SimulatedRequest> requests =
        workload.generateRequests(seed, DURATION_MILLIS, requestsPerSecond);
    return new RoutingSimulation(
            endpoints, EngineParameters.typical(), requests, DURATION_MILLIS, factory, seed)
        .run();
  }

  private static PolicyResult findBestBaseline(List<PolicyResult> results) {
    PolicyResult bestBaseline = null;
    for (PolicyResult result : results) {
      boolean usesCostPolicy = result.policy.startsWith(COST_POLICY);
      if (usesCostPolicy || !meetsTargetShare(result.resultsAtMinFleet)) {
        continue;
      }
      if (bestBaseline == null
          || meanCost(result.resultsAtMinFleet) < meanCost(bestBaseline.resultsAtMinFleet)) {
        bestBaseline = result;
      }
    }
    return bestBaseline == null ? results.get(0) : bestBaseline;
  }

  private static void printRow(PolicyResult result, List<SimulationResult> equalFleet) {
    List<SimulationResult> ownFleet = result.resultsAtMinFleet;
    String fleet =
        meetsTargetShare(ownFleet) ? Integer.toString(result.minFleetSize) : ">" + MAX_ENDPOINTS;
    System.out.printf(
        Locale.ROOT,
        "%-18s %6s %8.4f (%.4f-%.4f) %.3f(%.3f-%.3f) %7.0f (%6.0f-%6.0f) %8.3f | %27.3f %16.0f"
            + " %8.3f%n",
        result.policy,
        fleet,
        meanCost(ownFleet),
        minimum(ownFleet, SimulationResult::costPerThousandInTarget),
        maximum(ownFleet, SimulationResult::costPerThousandInTarget),
        mean(ownFleet, SimulationResult::shareInTarget),
        minimum(ownFleet, SimulationResult::shareInTarget),
        maximum(ownFleet, SimulationResult::shareInTarget),
        mean(ownFleet, SimulationResult::recomputedPerRequest),
        minimum(ownFleet, SimulationResult::recomputedPerRequest),
        maximum(ownFleet, SimulationResult::recomputedPerRequest),
        mean(ownFleet, SimulationResult::fairness),
        mean(equalFleet, SimulationResult::shareInTarget),
        mean(equalFleet, SimulationResult::recomputedPerRequest),
        mean(equalFleet, SimulationResult::fairness));
  }

  private void checkGoals(
      SyntheticWorkload workload,
      RoutingWeights weights,
      List<PolicyResult> results,
      PolicyResult bestBaseline,
      Map<String, List<SimulationResult>> equalFleetResults) {
    double minRecomputedInTarget = Double.MAX_VALUE;
    double minRecomputed = Double.MAX_VALUE;
    PolicyResult costPolicyResult = null;
    for (PolicyResult result : results) {
      if (result.policy.equals(COST_POLICY)) {
        costPolicyResult = result;
      }
      if (result.policy.startsWith(COST_POLICY)) {
        continue;
      }
      double recomputed =
          mean(equalFleetResults.get(result.policy), SimulationResult::recomputedPerRequest);
      minRecomputed = Math.min(minRecomputed, recomputed);
      if (meetsTargetShare(equalFleetResults.get(result.policy))) {
        minRecomputedInTarget = Math.min(minRecomputedInTarget, recomputed);
      }
    }
    double costPolicyRecomputed =
        mean(equalFleetResults.get(COST_POLICY), SimulationResult::recomputedPerRequest);
    double costRatio =
        meanCost(costPolicyResult.resultsAtMinFleet) / meanCost(bestBaseline.resultsAtMinFleet);
    double recomputedRatio = costPolicyRecomputed / minRecomputedInTarget;
    boolean patikoop = workload.name().equals("patikoop");
    checkUpperBound(
        workload, "cost_ratio", costRatio, patikoop ? MAX_COST_RATIO : MAX_SECONDARY_RATIO);
    checkUpperBound(
        workload,
        "recomputed_ratio",
        recomputedRatio,
        patikoop ? MAX_SECONDARY_RATIO : MAX_RECOMPUTED_RATIO);
    System.out.printf(
        Locale.ROOT,
        "  for information: recomputed against the best baseline, in target or not: %.2f%n",
        costPolicyRecomputed / minRecomputed);
    checkGoodput(workload, weights, costPolicyResult.minFleetSize);
  }

  private void checkGoodput(SyntheticWorkload workload, RoutingWeights weights, int fleet) {
    RoutingPolicy.Factory rejectingPolicy = CostRoutingPolicy.factory(weights, true);
    List<SimulationResult> atCapacity =
        simulateAllSeeds(workload, rejectingPolicy, fleet, REQUESTS_PER_SECOND);
    List<SimulationResult> atTwiceCapacity =
        simulateAllSeeds(workload, rejectingPolicy, fleet, 2 * REQUESTS_PER_SECOND);
    double capacityGoodput = mean(atCapacity, SimulationResult::goodputPerSecond);
    double overloadGoodput = mean(atTwiceCapacity, SimulationResult::goodputPerSecond);
    System.out.printf(
        Locale.ROOT,
        "  goodput on %d endpoints with early rejection: %.1f/s at capacity, %.1f/s at twice,"
            + " fairness %.3f%n",
        fleet,
        capacityGoodput,
        overloadGoodput,
        mean(atTwiceCapacity, SimulationResult::fairness));
    double ratio = overloadGoodput / capacityGoodput;
    boolean met = ratio >= MIN_GOODPUT_RATIO;
    reportGoal(workload, "goodput_at_twice_capacity", ratio, MIN_GOODPUT_RATIO, met);
  }

  private void checkUpperBound(
      SyntheticWorkload workload, String name, double value, double bound) {
    reportGoal(workload, name, value, bound, value <= bound);
  }

  private void reportGoal(
      SyntheticWorkload workload, String name, double value, double bound, boolean met) {
    allGoalsMet &= met;
    System.out.printf(
        Locale.ROOT, "  %s: %.3f, bound %.2f: %s%n", name, value, bound, met ? "met" : "MISSED");
    jsonFields.add(String.format(Locale.ROOT, "\"%s_%s\":%.4f", workload.name(), name, value));
  }

  private void writePlots(
      SyntheticWorkload workload,
      List<PolicyResult> results,
      Map<String, List<SimulationResult>> equalFleetResults) {
    if (plotDirectory == null) {
      return;
    }
    SvgPlot costPlot = SvgPlot.create(workload.name() + ": cost per 1,000 in target", "", "cost");
    SvgPlot recomputedPlot =
        SvgPlot.create(workload.name() + ": recomputed tokens per request, equal fleet", "", "");
    for (PolicyResult result : results) {
      String name = result.policy.replace("least-connections", "least-conn.");
      if (meetsTargetShare(result.resultsAtMinFleet)) {
        costPlot.addBar(name, meanCost(result.resultsAtMinFleet));
      }
      recomputedPlot.addBar(
          name, mean(equalFleetResults.get(result.policy), SimulationResult::recomputedPerRequest));
    }
    writePlot("routing-" + workload.name() + "-cost.svg", costPlot);
    writePlot("routing-" + workload.name() + "-recomputed.svg", recomputedPlot);
  }

  private void writePlot(String file, SvgPlot plot) {
    try {
      Files.createDirectories(plotDirectory);
      Files.writeString(plotDirectory.resolve(file), plot.render());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static double meanCost(List<SimulationResult> results) {
    return mean(results, SimulationResult::costPerThousandInTarget);
  }

  /** Extracts one value of a result. */
  @FunctionalInterface
  private interface ResultMetric {
    double valueOf(SimulationResult result);
  }

  private static double mean(List<SimulationResult> results, ResultMetric metric) {
    return results.stream().mapToDouble(metric::valueOf).average().orElse(0);
  }

  private static double minimum(List<SimulationResult> results, ResultMetric metric) {
    return results.stream().mapToDouble(metric::valueOf).min().orElse(0);
  }

  private static double maximum(List<SimulationResult> results, ResultMetric metric) {
    return results.stream().mapToDouble(metric::valueOf).max().orElse(0);
  }
}
