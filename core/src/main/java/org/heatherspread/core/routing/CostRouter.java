package org.heatherspread.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.heatherspread.core.config.LatencyTarget;

/**
 * Places a request on the endpoint with the lowest expected cost among those expected to meet the
 * latency target. If none is, the expected excess over the target is added to the cost.
 *
 * <p>All endpoints of a small service are evaluated. In a large service, only the endpoints that
 * hold the longest prefixes, the two preferred endpoints of the shared prefix and a random sample
 * are. The sample, a random factor on the load and the daemon's own dispatches since each report
 * prevent daemons that share a stale report from all choosing the same endpoint.
 *
 * <p>Immutable and thread-safe. Each call allocates its match buffer and its result.
 */
public final class CostRouter {
  private static final int MAX_FULL_SCAN_ENDPOINTS = 32;
  private static final int MAX_PREFIX_MATCHES = 16;
  private static final double LOAD_JITTER = 0.2;
  private static final double RAMP_UP_PENALTY_MILLIS = 200;
  private static final double MILLIS_PER_HOUR = 3_600_000;

  private final RoutingWeights weights;
  private final HealthPolicy health;
  private final PrefixIndex index;

  private CostRouter(RoutingWeights weights, HealthPolicy health, PrefixIndex index) {
    this.weights = weights;
    this.health = health;
    this.index = index;
  }

  /** Creates a router over an index that is updated elsewhere. */
  public static CostRouter create(RoutingWeights weights, HealthPolicy health, PrefixIndex index) {
    return new CostRouter(weights, health, index);
  }

  /** Returns a router with other weights over the same index. */
  public CostRouter withWeights(RoutingWeights next) {
    return new CostRouter(next, health, index);
  }

  /**
   * Chooses an endpoint for a request.
   *
   * @param random used only during this call
   * @return empty if no endpoint can take the request
   */
  public Optional<RoutingDecision> choose(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
    if (snapshot.size() == 0) {
      return Optional.empty();
    }
    Search search = new Search(snapshot, request, nowMillis, random);
    search.run(false);
    if (search.ejectedSkipped > 0 && shouldIgnoreEjections(snapshot, search.best < 0)) {
      search.run(true);
    }
    return search.best < 0 ? Optional.empty() : Optional.of(search.decision());
  }

  private boolean shouldIgnoreEjections(RoutingSnapshot snapshot, boolean nothingFound) {
    return nothingFound || snapshot.ejectedCount() > health.maxEjectedShare() * snapshot.size();
  }

  /** Holds the mutable state of one routing decision. */
  private final class Search {
    private final RoutingSnapshot snapshot;
    private final RoutingRequest request;
    private final LatencyTarget target;
    private final long nowMillis;
    private final RandomGenerator random;
    private final PrefixMatch match = PrefixMatch.withCapacity(MAX_PREFIX_MATCHES);
    private final long affinityKey;
    private int best = -1;
    private double bestCost;
    private boolean bestMeetsTarget;
    private double bestFirstTokenMillis;
    private double bestIntervalMillis;
    private int bestUncachedTokens;
    private int ejectedSkipped;

    Search(
        RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
      this.snapshot = snapshot;
      this.request = request;
      this.target = request.target();
      this.nowMillis = nowMillis;
      this.random = random;
      index.lookup(request.hashes(), match, nowMillis);
      this.affinityKey = deepestSharedHash();
    }

    /**
     * Returns the hash of the deepest prefix that other prompts share, or of the first block.
     * Affinity by this hash keeps a shared prefix on few endpoints.
     */
    private long deepestSharedHash() {
      long[] hashes = request.hashes();
      if (hashes.length == 0) {
        return 0;
      }
      return hashes[Math.max(1, match.sharedBlocks()) - 1];
    }

    void run(boolean ignoreEjections) {
      best = -1;
      if (snapshot.size() <= MAX_FULL_SCAN_ENDPOINTS) {
        for (int i = 0; i < snapshot.size(); i++) {
          evaluate(i, ignoreEjections);
        }
        return;
      }
      for (int i = 0; i < match.size(); i++) {
        int position = snapshot.positionOfSlot(match.slot(i));
        if (position >= 0) {
          evaluate(position, ignoreEjections);
        }
      }
      evaluatePreferred(ignoreEjections);
      evaluateSample(ignoreEjections);
    }

    private void evaluateSample(boolean ignoreEjections) {
      for (int i = 0; i < weights.sampleSize(); i++) {
        evaluate(random.nextInt(snapshot.size()), ignoreEjections);
      }
      int first = random.nextInt(snapshot.size());
      for (int i = 0; i < snapshot.size() && best < 0; i++) {
        evaluate((first + i) % snapshot.size(), ignoreEjections);
      }
    }

    /**
     * Evaluates the two endpoints that rank highest for the affinity key, found in one pass over
     * all endpoints.
     */
    private void evaluatePreferred(boolean ignoreEjections) {
      if (affinityKey == 0) {
        return;
      }
      long bestScore = -1;
      long secondScore = -1;
      int preferred = -1;
      int runnerUp = -1;
      for (int i = 0; i < snapshot.size(); i++) {
        long score = snapshot.rendezvousScore(i, affinityKey);
        if (score > bestScore) {
          secondScore = bestScore;
          runnerUp = preferred;
          bestScore = score;
          preferred = i;
        } else if (score > secondScore) {
          secondScore = score;
          runnerUp = i;
        }
      }
      evaluate(preferred, ignoreEjections);
      evaluate(runnerUp, ignoreEjections);
    }

    private double affinityPenalty(int position) {
      if (affinityKey == 0) {
        return 0;
      }
      double score = (double) snapshot.rendezvousScore(position, affinityKey) / Long.MAX_VALUE;
      return weights.affinity() * (1 - score);
    }

    private void evaluate(int position, boolean ignoreEjections) {
      EndpointView view = snapshot.endpoint(position);
      EndpointProfile profile = view.profile();
      if (!profile.models().canServe(request.version(), request.adapter())
          || request.excluded().contains(profile.id())) {
        return;
      }
      if (!ignoreEjections && !view.health().admits(nowMillis)) {
        ejectedSkipped++;
        return;
      }
      int uncachedTokens = uncachedTokens(view);
      double loadNoise = 1 + LOAD_JITTER * (random.nextDouble() - 0.5);
      double running = view.expectedRequests(weights.peerFactor()) * loadNoise;
      double wait = waitMillis(view, running);
      SpeedModel speed = view.speed();
      double prefill = speed.prefillMillis(uncachedTokens);
      double intervalMillis = speed.intervalMillis(running + 1);
      double firstTokenMillis = wait + prefill + intervalMillis;
      boolean withinTarget = meetsTarget(firstTokenMillis, intervalMillis);
      if (best >= 0 && bestMeetsTarget && !withinTarget) {
        return;
      }
      double cost = cost(view, wait, prefill, running) + affinityPenalty(position);
      if (!withinTarget) {
        cost += targetExcessMillis(firstTokenMillis, intervalMillis);
      }
      if (best < 0 || (withinTarget && !bestMeetsTarget) || cost < bestCost) {
        setBest(position, cost, withinTarget, firstTokenMillis, intervalMillis, uncachedTokens);
      }
    }

    private void setBest(
        int position,
        double cost,
        boolean withinTarget,
        double firstTokenMillis,
        double intervalMillis,
        int uncachedTokens) {
      best = position;
      bestCost = cost;
      bestMeetsTarget = withinTarget;
      bestFirstTokenMillis = firstTokenMillis;
      bestIntervalMillis = intervalMillis;
      bestUncachedTokens = uncachedTokens;
    }

    private int uncachedTokens(EndpointView view) {
      int cachedTokens = match.blocksForSlot(view.slot()) * PrefixHashes.BLOCK_TOKENS;
      return Math.max(1, request.promptTokens() - cachedTokens);
    }

    private double waitMillis(EndpointView view, double running) {
      double wait = view.expectedWaitMillis(weights.peerFactor(), nowMillis);
      LoadReport report = view.report();
      if (report.waiting() > 0 && report.running() > 0) {
        double answerMillis =
            request.answerTokens() * view.speed().intervalMillis(report.running());
        wait += Math.max(0, running - report.running()) * answerMillis / report.running();
      }
      return wait;
    }

    private boolean meetsTarget(double firstTokenMillis, double intervalMillis) {
      return firstTokenMillis <= weights.targetShare() * target.firstToken().toMillis()
          && (request.hashes().length == 0 || intervalMillis <= target.interToken().toMillis());
    }

    private double targetExcessMillis(double firstTokenMillis, double intervalMillis) {
      double firstTokenExcess =
          firstTokenMillis - weights.targetShare() * target.firstToken().toMillis();
      double decodeExcess =
          (intervalMillis - target.interToken().toMillis()) * request.answerTokens();
      return Math.max(0, firstTokenExcess)
          + (request.hashes().length == 0 ? 0 : Math.max(0, decodeExcess));
    }

    private double cost(
        EndpointView view, double waitMillis, double prefillMillis, double running) {
      SpeedModel speed = view.speed();
      EndpointProfile profile = view.profile();
      int answerTokens = request.answerTokens();
      double intervalPerRequest = speed.intervalMillis(1) - speed.intervalMillis(0);
      double slowdownMillis = intervalPerRequest * running * answerTokens;
      double workMillis = prefillMillis + intervalPerRequest * answerTokens;
      double cost =
          weights.queueing() * waitMillis
              + weights.recompute() * prefillMillis
              + weights.slowdown() * slowdownMillis;
      if (request.priority() <= 0 && snapshot.lowestPrice() > 0) {
        double priceExcess = profile.pricePerHour() / snapshot.lowestPrice() - 1;
        cost += weights.price() * priceExcess * workMillis;
      }
      double durationMillis =
          waitMillis + prefillMillis + speed.intervalMillis(running + 1) * answerTokens;
      double expectedReclaims = profile.reclaimsPerHour() * durationMillis / MILLIS_PER_HOUR;
      cost += weights.reclaim() * expectedReclaims * durationMillis;
      if (!request.domain().isEmpty() && !request.domain().equals(profile.domain().name())) {
        cost += weights.crossDomain();
      }
      return cost + RAMP_UP_PENALTY_MILLIS * view.health().remainingRampUp(nowMillis);
    }

    RoutingDecision decision() {
      int cachedTokens = Math.max(0, request.promptTokens() - bestUncachedTokens);
      return new RoutingDecision(
          snapshot.endpoint(best),
          cachedTokens,
          bestUncachedTokens,
          bestFirstTokenMillis,
          bestIntervalMillis,
          bestMeetsTarget);
    }
  }
}
