package org.heatherspread.core.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.heatherspread.core.config.LatencyTarget;

/**
 * Places a request on the endpoint with the least expected cost among those expected to answer
 * within the latency target; where none is, on the one expected to miss it by least.
 *
 * <p>In a small service every endpoint is weighed. In a large one, those that hold the longest
 * prefixes, the rendezvous homes of the part that nobody holds, and a random sample. The sample, a
 * random factor on the load and the own dispatches since each report keep daemons that share one
 * stale report from all choosing one endpoint.
 *
 * <p>Immutable and safe for use by any thread; a call allocates its match buffer and its result.
 */
public final class CostRouter {
  private static final int FULL_SCAN = 32;
  private static final int MATCH_LIMIT = 16;
  private static final double JITTER = 0.2;
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

  /** Creates a router over an index that others feed. */
  public static CostRouter create(RoutingWeights weights, HealthPolicy health, PrefixIndex index) {
    return new CostRouter(weights, health, index);
  }

  /** Returns a router with other weights over the same index. */
  public CostRouter withWeights(RoutingWeights next) {
    return new CostRouter(next, health, index);
  }

  /**
   * Chooses an endpoint.
   *
   * @param random used by this call only
   * @return empty where no endpoint may take the request
   */
  public Optional<RoutingDecision> choose(
      RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
    if (snapshot.size() == 0) {
      return Optional.empty();
    }
    Search search = new Search(snapshot, request, nowMillis, random);
    search.run(false);
    if (search.refused > 0 && mayIgnoreEjections(snapshot, search.best < 0)) {
      search.run(true);
    }
    return search.best < 0 ? Optional.empty() : Optional.of(search.decision());
  }

  private boolean mayIgnoreEjections(RoutingSnapshot snapshot, boolean nothingFound) {
    return nothingFound || snapshot.ejectedCount() > health.maxEjectedShare() * snapshot.size();
  }

  /** The mutable state of one decision. */
  private final class Search {
    private final RoutingSnapshot snapshot;
    private final RoutingRequest request;
    private final LatencyTarget target;
    private final long nowMillis;
    private final RandomGenerator random;
    private final PrefixMatch match = PrefixMatch.withCapacity(MATCH_LIMIT);
    private final long homeKey;
    private int best = -1;
    private double bestCost;
    private boolean bestMeets;
    private double bestFirst;
    private double bestInterval;
    private int bestUncached;
    private int refused;

    Search(
        RoutingSnapshot snapshot, RoutingRequest request, long nowMillis, RandomGenerator random) {
      this.snapshot = snapshot;
      this.request = request;
      this.target = request.target();
      this.nowMillis = nowMillis;
      this.random = random;
      index.lookup(request.hashes(), match, nowMillis);
      this.homeKey = homeKey();
    }

    /** The deepest prefix that other prompts share has homes, so that it lies on few endpoints. */
    private long homeKey() {
      long[] hashes = request.hashes();
      if (hashes.length == 0) {
        return 0;
      }
      return hashes[Math.max(1, match.sharedBlocks()) - 1];
    }

    void run(boolean ignoreEjections) {
      best = -1;
      if (snapshot.size() <= FULL_SCAN) {
        for (int i = 0; i < snapshot.size(); i++) {
          weigh(i, ignoreEjections);
        }
        return;
      }
      for (int i = 0; i < match.size(); i++) {
        int position = snapshot.positionOfSlot(match.slot(i));
        if (position >= 0) {
          weigh(position, ignoreEjections);
        }
      }
      weighHomes(ignoreEjections);
      sample(ignoreEjections);
    }

    private void sample(boolean ignoreEjections) {
      for (int i = 0; i < weights.sampleSize(); i++) {
        weigh(random.nextInt(snapshot.size()), ignoreEjections);
      }
      int first = random.nextInt(snapshot.size());
      for (int i = 0; i < snapshot.size() && best < 0; i++) {
        weigh((first + i) % snapshot.size(), ignoreEjections);
      }
    }

    /** Weighs the first homes of the shared prefix, found in one pass over all endpoints. */
    private void weighHomes(boolean ignoreEjections) {
      if (homeKey == 0) {
        return;
      }
      long highest = -1;
      long second = -1;
      int home = -1;
      int next = -1;
      for (int i = 0; i < snapshot.size(); i++) {
        long score = snapshot.rendezvousScore(i, homeKey);
        if (score > highest) {
          second = highest;
          next = home;
          highest = score;
          home = i;
        } else if (score > second) {
          second = score;
          next = i;
        }
      }
      weigh(home, ignoreEjections);
      weigh(next, ignoreEjections);
    }

    private double homePenalty(int position) {
      if (homeKey == 0) {
        return 0;
      }
      double score = (double) snapshot.rendezvousScore(position, homeKey) / Long.MAX_VALUE;
      return weights.affinity() * (1 - score);
    }

    private void weigh(int position, boolean ignoreEjections) {
      EndpointView view = snapshot.endpoint(position);
      EndpointProfile profile = view.profile();
      if (!profile.models().canServe(request.version(), request.adapter())
          || request.excluded().contains(profile.id())) {
        return;
      }
      if (!ignoreEjections && !view.health().admits(nowMillis)) {
        refused++;
        return;
      }
      int uncached = uncachedTokens(view);
      double noise = 1 + JITTER * (random.nextDouble() - 0.5);
      double running = view.expectedRequests(weights.peerFactor()) * noise;
      double wait = waitMillis(view, running);
      SpeedModel speed = view.speed();
      double prefill = speed.prefillMillis(uncached);
      double interval = speed.intervalMillis(running + 1);
      double first = wait + prefill + interval;
      boolean meets = meets(first, interval);
      if (best >= 0 && bestMeets && !meets) {
        return;
      }
      double cost = cost(view, wait, prefill, running) + homePenalty(position);
      if (!meets) {
        cost += excess(first, interval);
      }
      if (best < 0 || (meets && !bestMeets) || cost < bestCost) {
        keep(position, cost, meets, first, interval, uncached);
      }
    }

    private void keep(
        int position, double cost, boolean meets, double first, double interval, int uncached) {
      best = position;
      bestCost = cost;
      bestMeets = meets;
      bestFirst = first;
      bestInterval = interval;
      bestUncached = uncached;
    }

    private int uncachedTokens(EndpointView view) {
      int cached = match.blocksForSlot(view.slot()) * PrefixHashes.BLOCK_TOKENS;
      return Math.max(1, request.promptTokens() - cached);
    }

    private double waitMillis(EndpointView view, double running) {
      double wait = view.expectedWaitMillis(weights.peerFactor(), nowMillis);
      LoadReport report = view.report();
      if (report.waiting() > 0 && report.running() > 0) {
        double answer = request.answerTokens() * view.speed().intervalMillis(report.running());
        wait += Math.max(0, running - report.running()) * answer / report.running();
      }
      return wait;
    }

    private boolean meets(double first, double interval) {
      return first <= weights.targetShare() * target.firstToken().toMillis()
          && (request.hashes().length == 0 || interval <= target.interToken().toMillis());
    }

    private double excess(double first, double interval) {
      double late = first - weights.targetShare() * target.firstToken().toMillis();
      double slow = (interval - target.interToken().toMillis()) * request.answerTokens();
      return Math.max(0, late) + (request.hashes().length == 0 ? 0 : Math.max(0, slow));
    }

    private double cost(EndpointView view, double wait, double prefill, double running) {
      SpeedModel speed = view.speed();
      EndpointProfile profile = view.profile();
      int answer = request.answerTokens();
      double step = speed.intervalMillis(1) - speed.intervalMillis(0);
      double slowdown = step * running * answer;
      double work = prefill + step * answer;
      double cost =
          weights.queueing() * wait + weights.recompute() * prefill + weights.slowdown() * slowdown;
      if (request.priority() <= 0 && snapshot.lowestPrice() > 0) {
        double dearer = profile.pricePerHour() / snapshot.lowestPrice() - 1;
        cost += weights.price() * dearer * work;
      }
      double duration = wait + prefill + speed.intervalMillis(running + 1) * answer;
      double lost = profile.reclaimsPerHour() * duration / MILLIS_PER_HOUR;
      cost += weights.reclaim() * lost * duration;
      if (!request.domain().isEmpty() && !request.domain().equals(profile.domain().name())) {
        cost += weights.crossDomain();
      }
      return cost + RAMP_UP_PENALTY_MILLIS * view.health().remainingRampUp(nowMillis);
    }

    RoutingDecision decision() {
      int cached = Math.max(0, request.promptTokens() - bestUncached);
      return new RoutingDecision(
          snapshot.endpoint(best), cached, bestUncached, bestFirst, bestInterval, bestMeets);
    }
  }
}
