package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.function.ToIntFunction;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.PrefixMatch;

/**
 * Compares {@link PrefixIndex} with two {@link ViewTree} variants on the prompts of a workload: the
 * share of blocks found and the time per look-up. Stateless.
 */
final class PrefixIndexComparison {
  private static final double DURATION_MILLIS = 60_000;
  private static final double REQUESTS_PER_SECOND = 30;
  private static final long NOW_MILLIS = 1_000_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private PrefixIndexComparison() {}

  /** Indexes the first half of the prompts, looks up the second half, and prints the results. */
  static void print(SyntheticWorkload workload, long seed) {
    List<SimulatedRequest> requests =
        workload.generateRequests(seed, DURATION_MILLIS, REQUESTS_PER_SECOND);
    int half = requests.size() / 2;
    List<SimulatedRequest> indexed = requests.subList(0, half);
    List<SimulatedRequest> queries = requests.subList(half, requests.size());
    PrefixIndex index = PrefixIndex.create(32 << 20, 600);
    ViewTree permuted = new ViewTree(true);
    ViewTree ordered = new ViewTree(false);
    for (SimulatedRequest request : indexed) {
      index.add(request.blockHashes, request.blockHashes.length, 1, NOW_MILLIS);
      permuted.add(request.blockHashes);
      ordered.add(request.blockHashes);
    }
    PrefixMatch match = PrefixMatch.withCapacity(16);
    System.out.printf(
        "  prefix indexes over %d prompts, %d look-ups:%n", indexed.size(), queries.size());
    printRow(
        "chained index",
        queries,
        blockHashes -> {
          index.lookup(blockHashes, match, NOW_MILLIS);
          return match.size() == 0 ? 0 : match.blocks(0);
        });
    printRow("view tree, permuted", queries, permuted::lookup);
    printRow("view tree, in order", queries, ordered::lookup);
    System.out.printf(
        "  nodes: permuted %d, in order %d; visited: %d and %d%n",
        permuted.nodeCount(), ordered.nodeCount(), permuted.visitedNodes(), ordered.visitedNodes());
  }

  private static void printRow(
      String name, List<SimulatedRequest> queries, ToIntFunction<long[]> lookup) {
    long foundBlocks = 0;
    long totalBlocks = 0;
    for (SimulatedRequest request : queries) {
      lookup.applyAsInt(request.blockHashes);
    }
    long startNanos = System.nanoTime();
    for (SimulatedRequest request : queries) {
      foundBlocks += lookup.applyAsInt(request.blockHashes);
      totalBlocks += request.blockHashes.length;
    }
    double microsPerLookup = (System.nanoTime() - startNanos) / NANOS_PER_MICRO / queries.size();
    System.out.printf(
        Locale.ROOT,
        "    %-22s %5.1f%% of blocks found, %8.2f us a look-up%n",
        name,
        100.0 * foundBlocks / totalBlocks,
        microsPerLookup);
  }
}
