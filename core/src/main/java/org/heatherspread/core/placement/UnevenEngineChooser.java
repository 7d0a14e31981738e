package org.heatherspread.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Places a model request like {@link EngineChooser}, for endpoints that differ in speed: the times
 * of each endpoint are multiplied by its own recent slowness, loads of other daemons are taken as
 * they are expected to be by now, and one of two nearly equal endpoints is chosen at random. Long
 * prompts prefer the endpoints of {@link LongPromptEndpoints} and short ones the others, unless the
 * difference of the waits or a cached prefix is worth more. Confined to one thread.
 */
public final class UnevenEngineChooser implements EndpointChooser {
  /** Share of a prefill by which it delays each running request. */
  private static final double SLOWDOWN_WEIGHT = 0.05;

  /** Share of the prefill of uncached shared segments not counted at the preferred endpoint. */
  private static final double AFFINITY_WEIGHT = 0.9;

  /** Cost of prefilling a shared segment again, besides its time, as it evicts other segments. */
  private static final double EVICTION_WEIGHT = 2;

  /** Cost of joining a full batch besides the wait for a slot. */
  private static final double FULL_BATCH_MILLIS = 150;

  /** Cost of a certain failure, more than any difference of waits between endpoints. */
  static final double FAILURE_MILLIS = 3_000;

  /**
   * Relative and absolute difference of costs within the error of the known loads. In replays of
   * daemons that exchange loads every 250 ms, 0.25 and 4 ms made them crowd at few endpoints.
   */
  private static final double NEAR_SHARE = 1;

  private static final double NEAR_MILLIS = 30;

  /** Share of its own prefill by which a long prompt prefers the endpoints of long prompts. */
  private static final double LONG_AWAY = 1;

  /** Share of the prefill of the shortest long prompt by which other prompts avoid these. */
  private static final double SHORT_AWAY = 1;

  private final Supplier<EnginePerformance> estimate;
  private final EngineMemory memory;
  private final LongPromptEndpoints longPrompts = LongPromptEndpoints.create();
  private final NearEqualChoice nearEqual = NearEqualChoice.create(NEAR_SHARE, NEAR_MILLIS);

  private UnevenEngineChooser(Supplier<EnginePerformance> estimate, EngineMemory memory) {
    this.estimate = estimate;
    this.memory = memory;
  }

  /**
   * Creates a chooser.
   *
   * @param estimate supplies the performance of an average engine of the service
   * @param cacheTokens supplies the size of an engine's cache in tokens, 0 if unknown
   */
  public static UnevenEngineChooser create(
      Supplier<EnginePerformance> estimate, LongSupplier cacheTokens) {
    return new UnevenEngineChooser(estimate, EngineMemory.create(cacheTokens));
  }

  @Override
  public Optional<Choice> choose(
      List<TrackedEndpoint> endpoints,
      Workload work,
      Set<String> excluded,
      long nowMillis,
      RandomGenerator random) {
    EnginePerformance performance = estimate.get();
    int shared = EngineChooser.sharedTokens(work);
    longPrompts.refresh(endpoints, nowMillis);
    boolean isLong = LongPromptEndpoints.isLong(work);
    boolean concentrate = isLong && longPrompts.count() > 0;
    String preferred =
        EngineChooser.preferredEndpoint(
            endpoints,
            work,
            each ->
                each.acceptsRequests(nowMillis) && (!concentrate || longPrompts.contains(each)));
    TrackedEndpoint chosen =
        nearEqual.choose(
            endpoints,
            excluded,
            nowMillis,
            each ->
                cost(each, performance, work, shared, each.id().equals(preferred), nowMillis)
                    + separationMillis(each, performance, work, isLong),
            random);
    return Optional.ofNullable(chosen).map(each -> choice(each, performance, work, nowMillis));
  }

  /** Returns the cost of mixing long and short prompts at an endpoint. */
  private double separationMillis(
      TrackedEndpoint endpoint, EnginePerformance performance, Workload work, boolean isLong) {
    if (longPrompts.count() == 0 || longPrompts.contains(endpoint) == isLong) {
      return 0;
    }
    long tokens = isLong ? work.promptTokens() : LongPromptEndpoints.LONG_PROMPT_TOKENS;
    double weight = isLong ? LONG_AWAY : SHORT_AWAY;
    return weight * performance.prefillMillis(tokens);
  }

  /** Returns the endpoints that long prompts prefer, for metrics. */
  public LongPromptEndpoints longPrompts() {
    return longPrompts;
  }

  private static Choice choice(
      TrackedEndpoint endpoint, EnginePerformance performance, Workload work, long nowMillis) {
    int cached = Math.min(work.promptTokens(), endpoint.cachedTokens(work));
    int slots = endpoint.registration().slots();
    int running = expectedRunning(endpoint, performance, nowMillis);
    double own =
        performance.firstTokenOverheadMillis()
            + performance.prefillMillis(work.promptTokens() - cached, cached)
            + performance.stepMillis(Math.min(slots, running + 1));
    double queued = queuedMillis(endpoint, performance, nowMillis);
    double base = (own + queued) * endpoint.recentSlowness(nowMillis);
    double observedWait = endpoint.observedWaitMillis(nowMillis);
    double wait = queued * endpoint.recentSlowness(nowMillis) + observedWait;
    return new Choice(endpoint, base, base + observedWait, wait);
  }

  @Override
  public double waitMillis(TrackedEndpoint endpoint, long nowMillis) {
    return queuedMillis(endpoint, estimate.get(), nowMillis) * endpoint.recentSlowness(nowMillis)
        + endpoint.observedWaitMillis(nowMillis);
  }

  /** Returns the time that other requests take before a new one, at an average endpoint. */
  private static double queuedMillis(
      TrackedEndpoint endpoint, EnginePerformance performance, long nowMillis) {
    int running = expectedRunning(endpoint, performance, nowMillis);
    return waitingMillis(endpoint, performance, nowMillis)
        + performance.slotWaitMillis(running, endpoint.registration().slots());
  }

  private static int expectedRunning(
      TrackedEndpoint endpoint, EnginePerformance performance, long nowMillis) {
    return (int) Math.round(endpoint.expectedRunning(nowMillis, performance.slotHoldMillis()));
  }

  private static double waitingMillis(
      TrackedEndpoint endpoint, EnginePerformance performance, long nowMillis) {
    double rate = performance.promptTokensPerMilli();
    return endpoint.expectedPromptTokens(nowMillis, rate / endpoint.recentSlowness(nowMillis))
        / rate;
  }

  private double cost(
      TrackedEndpoint endpoint,
      EnginePerformance performance,
      Workload work,
      int sharedTokens,
      boolean isPreferred,
      long nowMillis) {
    int cached = Math.min(work.promptTokens(), endpoint.cachedTokens(work));
    double sharedUncached = Math.max(0, sharedTokens - cached);
    double discount = isPreferred ? AFFINITY_WEIGHT * sharedUncached : 0;
    double prefill =
        performance.prefillMillis(work.promptTokens() - cached, cached)
            - performance.prefillMillis((long) discount);
    double eviction =
        EVICTION_WEIGHT * performance.prefillMillis((long) (sharedUncached - discount));
    double running = endpoint.expectedRunning(nowMillis, performance.slotHoldMillis());
    double slowdown = SLOWDOWN_WEIGHT * running * prefill;
    double decode =
        performance.stepMillisPerRequest() * running * Math.max(1, work.answerTokens()) / 4;
    double waiting = waitingMillis(endpoint, performance, nowMillis);
    double millis =
        performance.firstTokenOverheadMillis() + waiting + prefill + eviction + slowdown + decode;
    int slots = endpoint.registration().slots();
    if (running >= slots) {
      millis += FULL_BATCH_MILLIS + performance.slotWaitMillis((int) running, slots);
    }
    double held = endpoint.expectedHeldTokens(nowMillis, performance.slotHoldMillis());
    millis += memory.preemptionMillis(performance, held, work, work.promptTokens() - cached);
    return millis * endpoint.recentSlowness(nowMillis)
        + FAILURE_MILLIS * endpoint.failureShare(nowMillis)
        + endpoint.observedWaitMillis(nowMillis);
  }
}
