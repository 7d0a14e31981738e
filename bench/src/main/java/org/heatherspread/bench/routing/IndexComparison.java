package org.heatherspread.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.function.ToIntFunction;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.PrefixMatch;

/**
 * Compares the chained prefix index with two view trees over the prompts of a deployment: how much
 * of each prompt they find, and how long a look-up takes. Stateless.
 */
final class IndexComparison {
  private static final double DURATION_MILLIS = 60_000;
  private static final double REQUESTS_PER_SECOND = 30;
  private static final long NOW = 1_000_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private IndexComparison() {}

  static void print(Workload workload, long seed) {
    List<SimRequest> requests = workload.requests(seed, DURATION_MILLIS, REQUESTS_PER_SECOND);
    int half = requests.size() / 2;
    List<SimRequest> known = requests.subList(0, half);
    List<SimRequest> asked = requests.subList(half, requests.size());
    PrefixIndex index = PrefixIndex.create(32 << 20, 600);
    ViewTree permuted = new ViewTree(true);
    ViewTree ordered = new ViewTree(false);
    for (SimRequest request : known) {
      index.add(request.hashes, request.hashes.length, 1, NOW);
      permuted.add(request.hashes);
      ordered.add(request.hashes);
    }
    PrefixMatch match = PrefixMatch.withCapacity(16);
    System.out.printf(
        "  prefix indexes over %d prompts, %d look-ups:%n", known.size(), asked.size());
    row(
        "chained index",
        asked,
        hashes -> {
          index.lookup(hashes, match, NOW);
          return match.size() == 0 ? 0 : match.blocks(0);
        });
    row("view tree, permuted", asked, permuted::lookup);
    row("view tree, in order", asked, ordered::lookup);
    System.out.printf(
        "  nodes: permuted %d, in order %d; visited: %d and %d%n",
        permuted.nodes(), ordered.nodes(), permuted.visited(), ordered.visited());
  }

  private static void row(String name, List<SimRequest> asked, ToIntFunction<long[]> lookup) {
    long found = 0;
    long blocks = 0;
    for (SimRequest request : asked) {
      lookup.applyAsInt(request.hashes);
    }
    long begin = System.nanoTime();
    for (SimRequest request : asked) {
      found += lookup.applyAsInt(request.hashes);
      blocks += request.hashes.length;
    }
    double micros = (System.nanoTime() - begin) / NANOS_PER_MICRO / asked.size();
    System.out.printf(
        Locale.ROOT,
        "    %-22s %5.1f%% of blocks found, %8.2f us a look-up%n",
        name,
        100.0 * found / blocks,
        micros);
  }
}
