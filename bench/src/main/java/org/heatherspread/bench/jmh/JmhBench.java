package org.heatherspread.bench.jmh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.heatherspread.core.routing.PrefixIndex;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the JMH benchmarks of routing and limits and compares the results with their bounds.
 * Stateless.
 */
public final class JmhBench {
  private static final double MAX_DECISION_NANOS = 20_000;
  private static final int PREFIX_BLOCKS = 64;
  private static final int WARM_UP_ITERATIONS = 3;
  private static final int MEASUREMENT_ITERATIONS = 5;
  private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";

  /** Maximum ratio to the baseline of the same run, by benchmark method. */
  private static final Map<String, Double> MAX_BASELINE_RATIOS =
      Map.of("decision", 10.0, "indexLookup", 5.0, "limiterAdmitAndRelease", 0.5);

  private JmhBench() {}

  /** Runs all benchmarks; returns 0 if all bounds hold, otherwise 1. */
  public static int run(String[] args) {
    Collection<RunResult> results;
    try {
      results =
          new Runner(
                  new OptionsBuilder()
                      .include(RoutingDecisionBenchmark.class.getSimpleName())
                      .forks(1)
                      .jvmArgsAppend("-Xmx512m")
                      .warmupIterations(WARM_UP_ITERATIONS)
                      .warmupTime(TimeValue.seconds(1))
                      .measurementIterations(MEASUREMENT_ITERATIONS)
                      .measurementTime(TimeValue.seconds(1))
                      .addProfiler(GCProfiler.class)
                      .build())
              .run();
    } catch (RunnerException e) {
      throw new IllegalStateException(e);
    }
    Map<String, RunResult> resultsByMethod = new TreeMap<>();
    for (RunResult result : results) {
      resultsByMethod.put(methodName(result), result);
    }
    return report(resultsByMethod);
  }

  private static int report(Map<String, RunResult> resultsByMethod) {
    double baselineNanos = meanNanos(resultsByMethod.get("baselineScan"));
    boolean boundsHeld = true;
    List<String> jsonFields = new ArrayList<>();
    System.out.printf("%n%-24s %12s %12s %12s %10s%n", "operation", "ns", "+-", "bytes", "ratio");
    for (Map.Entry<String, RunResult> entry : resultsByMethod.entrySet()) {
      RunResult result = entry.getValue();
      double ratio = meanNanos(result) / baselineNanos;
      boundsHeld &= ratio <= MAX_BASELINE_RATIOS.getOrDefault(entry.getKey(), Double.MAX_VALUE);
      System.out.printf(
          Locale.ROOT,
          "%-24s %12.1f %12.1f %12.1f %10.3f%n",
          entry.getKey(),
          meanNanos(result),
          result.getPrimaryResult().getScoreError(),
          allocatedBytes(result),
          ratio);
      jsonFields.add(
          String.format(Locale.ROOT, "\"%s_ns\":%.1f", entry.getKey(), meanNanos(result)));
    }
    boundsHeld &= meanNanos(resultsByMethod.get("decision")) <= MAX_DECISION_NANOS;
    long bytesPerThousandPrefixes = 1_000L * PREFIX_BLOCKS * PrefixIndex.BYTES_PER_BLOCK;
    System.out.printf(
        "index: %d bytes a block; 1,000 unshared prefixes of 4,096 tokens: %d bytes%n",
        PrefixIndex.BYTES_PER_BLOCK, bytesPerThousandPrefixes);
    System.out.println(boundsHeld ? "bounds hold" : "A BOUND IS BROKEN");
    System.out.println("{\"bench\":\"jmh\"," + String.join(",", jsonFields) + "}");
    return boundsHeld ? 0 : 1;
  }

  private static String methodName(RunResult result) {
    String qualifiedName = result.getParams().getBenchmark();
    return qualifiedName.substring(qualifiedName.lastIndexOf('.') + 1);
  }

  private static double meanNanos(RunResult result) {
    return result.getPrimaryResult().getScore();
  }

  private static double allocatedBytes(RunResult result) {
    for (Map.Entry<String, Result> entry : result.getSecondaryResults().entrySet()) {
      if (entry.getKey().endsWith(ALLOCATION_METRIC)) {
        return entry.getValue().getScore();
      }
    }
    return Double.NaN;
  }
}
