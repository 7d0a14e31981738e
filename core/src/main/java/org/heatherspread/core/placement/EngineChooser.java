package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heatherspread.core.fleet.EndpointLoad;

/**
 * Places a model request on the endpoint with the earliest expected first token, including the cost
 * for the requests that already run there.
 *
 * <p>Many daemons receive prompts with shared segments and do not coordinate. Rendezvous hashing
 * gives each shared segment a preferred endpoint on which all daemons agree, so that the segment is
 * prefilled on few endpoints. Requests with a frequent segment go to other endpoints once the load
 * of the preferred one costs more than a prefill. Stateless.
 */
public final class EngineChooser implements EndpointChooser {
  private static final double JITTER = 0.1;
  private static final double DOUBLE_UNIT = 0x1p-53;

  /**
   * Cost of each request beyond a full batch, as such a wait costs more than the same time of
   * prefill.
   */
  private static final double FULL_BATCH_PENALTY_MILLIS = 150;

  /** Share of a prefill by which it delays each running request. */
  private static final double SLOWDOWN_WEIGHT = 0.05;

  /**
   * Share of the prefill cost of uncached shared segments that is not counted at the preferred
   * endpoint.
   */
  private static final double AFFINITY_WEIGHT = 0.9;

  /**
   * Cost of prefilling a shared segment again, besides its time, because it evicts other segments.
   */
  private static final double EVICTION_WEIGHT = 2;

  private final Supplier<EnginePerformance> estimate;

  private EngineChooser(Supplier<EnginePerformance> estimate) {
    this.estimate = estimate;
  }

  /**
   * Creates a chooser.
   *
   * @param estimate supplies the performance of the service's engines
   */
  public static EngineChooser create(Supplier<EnginePerformance> estimate) {
    return new EngineChooser(estimate);
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    String preferred = preferredEndpoint(endpoints, work, each -> each.acceptsRequests(nowMillis));
    return CheapestEndpoint.find(
            endpoints,
            excluded,
            nowMillis,
            each ->
                cost(each, work, each.id().equals(preferred), random)
                    + each.observedWaitMillis(nowMillis))
        .map(found -> choice(found.endpoint(), work, nowMillis));
  }

  private Choice choice(TrackedEndpoint endpoint, Workload work, long nowMillis) {
    double base = expectedMillis(endpoint, work);
    double expected = base + endpoint.observedWaitMillis(nowMillis);
    return new Choice(endpoint, base, expected, waitMillis(endpoint, nowMillis));
  }

  @Override
  public double waitMillis(TrackedEndpoint endpoint, long nowMillis) {
    EnginePerformance performance = estimate.get();
    EndpointLoad load = endpoint.load();
    double prefill = performance.prefillMillis(load.promptTokens());
    double slotWait = performance.slotWaitMillis(load.running(), endpoint.registration().slots());
    return (prefill + slotWait) * Math.max(1, endpoint.slowness())
        + endpoint.observedWaitMillis(nowMillis);
  }

  /** Returns the expected time to the first token at an endpoint, based on the known load. */
  public double expectedMillis(TrackedEndpoint endpoint, Workload work) {
    EnginePerformance performance = estimate.get();
    long cached = Math.min(work.promptTokens(), endpoint.cachedTokens(work));
    EndpointLoad load = endpoint.load();
    int slots = endpoint.registration().slots();
    double waiting = performance.prefillMillis(load.promptTokens());
    double prefill = performance.prefillMillis(work.promptTokens() - cached, cached);
    double decodeStep = performance.stepMillis(Math.min(slots, load.running() + 1));
    double slotWait = performance.slotWaitMillis(load.running(), slots);
    return (performance.firstTokenOverheadMillis() + waiting + prefill + decodeStep + slotWait)
        * Math.max(1, endpoint.slowness());
  }

  private double cost(
      TrackedEndpoint endpoint, Workload work, boolean isPreferred, RandomGenerator random) {
    EnginePerformance performance = estimate.get();
    int cached = endpoint.cachedTokens(work);
    double uncached = Math.max(0, work.promptTokens() - cached);
    double sharedUncached = Math.max(0, sharedTokens(work) - cached);
    if (isPreferred) {
      uncached -= AFFINITY_WEIGHT * sharedUncached;
      sharedUncached -= AFFINITY_WEIGHT * sharedUncached;
    }
    int running = endpoint.load().running();
    double wait = performance.prefillMillis(endpoint.load().promptTokens());
    double prefill = Math.max(0, uncached) / performance.promptTokensPerMilli();
    double slowdown = SLOWDOWN_WEIGHT * running * prefill;
    double decode =
        performance.stepMillisPerRequest() * running * Math.max(1, work.answerTokens()) / 4;
    double eviction = EVICTION_WEIGHT * sharedUncached / performance.promptTokensPerMilli();
    double cost =
        performance.firstTokenOverheadMillis() + wait + prefill + eviction + slowdown + decode;
    if (running >= endpoint.registration().slots()) {
      cost += FULL_BATCH_PENALTY_MILLIS * (1 + running - endpoint.registration().slots());
    }
    return cost * endpoint.slowness() * (1 + JITTER * random.nextDouble());
  }

  /** Returns the tokens of the segments that other requests may share. */
  static int sharedTokens(Workload work) {
    int shared = 0;
    for (int i = 0; i < work.segments().size() - 1; i++) {
      shared += work.segments().get(i).tokens();
    }
    return shared;
  }

  /** Returns the endpoint that all daemons prefer for the last shared segment, null for none. */
  static String preferredEndpoint(
      List<TrackedEndpoint> endpoints, Workload work, Predicate<TrackedEndpoint> candidate) {
    long key = work.affinityKey();
    if (key == 0) {
      return null;
    }
    String preferred = null;
    double highestScore = -1;
    for (TrackedEndpoint endpoint : endpoints) {
      if (!candidate.test(endpoint)) {
        continue;
      }
      double score =
          (mix(key ^ endpoint.id().hashCode() * 0x9E3779B97F4A7C15L) >>> 11) * DOUBLE_UNIT;
      if (score > highestScore) {
        highestScore = score;
        preferred = endpoint.id();
      }
    }
    return preferred;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
