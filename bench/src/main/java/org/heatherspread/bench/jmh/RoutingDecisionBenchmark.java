package org.heatherspread.bench.jmh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.limit.AccountLimiter;
import org.heatherspread.core.limit.ResourceAmounts;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.routing.CostRouter;
import org.heatherspread.core.routing.EndpointProfile;
import org.heatherspread.core.routing.EndpointRegistry;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.LoadedModels;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.PrefixMatch;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.routing.RoutingRequest;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.core.routing.RoutingWeights;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Benchmarks routing and limit decisions at the size of a region: 1,333 endpoints and prompts of
 * 4,096 tokens. The baseline scans all endpoints and computes their rendezvous scores for one key.
 * The state is confined to one benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingDecisionBenchmark {
  private static final int ENDPOINT_COUNT = 1_333;
  private static final int PROMPT_COUNT = 2_000;
  private static final int PROMPT_BLOCKS = 64;
  private static final int SHARED_BLOCKS = 32;
  private static final long NOW_MILLIS = 1_000_000;
  private static final LatencyTarget TARGET =
      new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33));

  private final PrefixIndex index = PrefixIndex.create(32 << 20, 600);
  private final PrefixMatch match = PrefixMatch.withCapacity(16);
  private final long[][] prompts = new long[PROMPT_COUNT][];
  private final RoutingRequest[] requests = new RoutingRequest[PROMPT_COUNT];
  private final long[] hashSeeds = new long[ENDPOINT_COUNT];
  private final SplittableRandom random = new SplittableRandom(1);
  private final AccountLimiter limiter =
      AccountLimiter.create(1, new ResourceAmounts(1e9, 1e12, 1_000), 0);
  private final byte[] promptText =
      "x".repeat(PROMPT_BLOCKS * 256).getBytes(StandardCharsets.UTF_8);
  private RoutingSnapshot snapshot;
  private CostRouter router;
  private int nextPrompt;

  /** Fills the index and the endpoint views. */
  @Setup
  public void setUp() {
    Random setupRandom = new Random(7);
    List<EndpointProfile> profiles = new ArrayList<>();
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      FailureDomain domain = new FailureDomain("region", "d" + i % 4);
      profiles.add(new EndpointProfile("e" + i, 1, domain, "gpu", 1, 0.05, LoadedModels.unknown()));
      hashSeeds[i] = RendezvousHash.seed("e" + i);
    }
    List<EndpointView> views =
        EndpointRegistry.create(index, HealthPolicy.defaults()).update(profiles, NOW_MILLIS);
    for (EndpointView view : views) {
      view.applyReport(new LoadReport(NOW_MILLIS, setupRandom.nextInt(20), 0, 0, 0.5, 900, 9_000));
    }
    snapshot = RoutingSnapshot.of(views);
    router = CostRouter.create(RoutingWeights.costAtTarget(), HealthPolicy.defaults(), index);
    for (int p = 0; p < PROMPT_COUNT; p++) {
      prompts[p] = new long[PROMPT_BLOCKS];
      Random shared = new Random(p % 50);
      for (int b = 0; b < PROMPT_BLOCKS; b++) {
        prompts[p][b] = b < SHARED_BLOCKS ? shared.nextLong() : setupRandom.nextLong();
      }
      requests[p] = RoutingRequest.of(prompts[p], PROMPT_BLOCKS * 64, 150, TARGET);
      for (int copy = 0; copy < 3; copy++) {
        index.add(prompts[p], PROMPT_BLOCKS - 2, setupRandom.nextInt(ENDPOINT_COUNT), NOW_MILLIS);
      }
    }
  }

  private int advancePrompt() {
    nextPrompt = nextPrompt + 1 == PROMPT_COUNT ? 0 : nextPrompt + 1;
    return nextPrompt;
  }

  /** Measures a routing decision. */
  @Benchmark
  public Object decision() {
    return router.choose(snapshot, requests[advancePrompt()], NOW_MILLIS, random);
  }

  /** Measures hashing the text of a prompt, which precedes a decision. */
  @Benchmark
  public long[] hashPrompt() {
    return PrefixHashes.of(promptText);
  }

  /** Measures rendezvous hashing over all endpoints, the baseline. */
  @Benchmark
  public int baselineScan() {
    long key = prompts[advancePrompt()][SHARED_BLOCKS - 1];
    int preferred = 0;
    long highestScore = -1;
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      long score = RendezvousHash.score(hashSeeds[i], key);
      if (score > highestScore) {
        highestScore = score;
        preferred = i;
      }
    }
    return preferred;
  }

  /** Measures an index look-up of one prompt. */
  @Benchmark
  public int indexLookup() {
    index.lookup(prompts[advancePrompt()], match, NOW_MILLIS);
    return match.size();
  }

  /** Measures adding one prompt of 64 blocks to the index. */
  @Benchmark
  public void indexAdd() {
    index.add(prompts[advancePrompt()], PROMPT_BLOCKS, nextPrompt % ENDPOINT_COUNT, NOW_MILLIS);
  }

  /** Measures admission and release of one request. */
  @Benchmark
  public boolean limiterAdmitAndRelease() {
    boolean admitted = limiter.admit(1, NOW_MILLIS).admitted();
    limiter.release(1, NOW_MILLIS);
    return admitted;
  }
}
