package org.heatherspread.core.placement;

/**
 * Performance of a healthy model endpoint; the measured slowness of each endpoint multiplies it.
 * {@link EnginePerformanceEstimator} derives it for a service from observed responses. Immutable.
 *
 * @param promptTokensPerMilli prefill throughput
 * @param baseStepMillis duration of a decode step of an empty batch
 * @param stepMillisPerRequest additional duration of a step for each request in the batch
 * @param firstTokenOverheadMillis fixed time to the first token
 * @param attentionMillisPerMillionPairs prefill time for a million pairs of a new and a preceding
 *     token
 * @param slotHoldMillis mean time for which a request occupies a slot
 */
public record EnginePerformance(
    double promptTokensPerMilli,
    double baseStepMillis,
    double stepMillisPerRequest,
    double firstTokenOverheadMillis,
    double attentionMillisPerMillionPairs,
    double slotHoldMillis) {
  // Initial values from the data sheet of one engine; those of others are estimated.
  private static final double PROMPT_TOKENS_PER_MILLI = 157;
  private static final double BASE_STEP_MILLIS = 3.55;
  private static final double STEP_MILLIS_PER_REQUEST = 0.0462;
  private static final double FIRST_TOKEN_OVERHEAD_MILLIS = 26;
  private static final double ATTENTION_MILLIS_PER_MILLION_PAIRS = 0.109;
  private static final double MILLION = 1e6;

  private static final double SLOT_HOLD_MILLIS = 1_400;

  /** Returns the performance assumed until answers have been observed. */
  public static EnginePerformance defaults() {
    return new EnginePerformance(
        PROMPT_TOKENS_PER_MILLI,
        BASE_STEP_MILLIS,
        STEP_MILLIS_PER_REQUEST,
        FIRST_TOKEN_OVERHEAD_MILLIS,
        ATTENTION_MILLIS_PER_MILLION_PAIRS,
        SLOT_HOLD_MILLIS);
  }

  /**
   * Returns this performance with longer or shorter times.
   *
   * @param prefill factor of the time to prefill tokens
   * @param decode factor of the duration of decode steps
   */
  EnginePerformance scaled(
      double prefill, double decode, double overheadMillis, double newSlotHoldMillis) {
    return new EnginePerformance(
        promptTokensPerMilli / prefill,
        baseStepMillis * decode,
        stepMillisPerRequest * decode,
        overheadMillis,
        attentionMillisPerMillionPairs * prefill,
        newSlotHoldMillis);
  }

  /** Returns the time to prefill tokens. */
  public double prefillMillis(long tokens) {
    return tokens / promptTokensPerMilli;
  }

  /** Returns the time to prefill tokens that follow cached ones. */
  public double prefillMillis(long tokens, long cachedTokens) {
    double millionPairs = tokens * (cachedTokens + tokens / 2.0) / MILLION;
    return prefillMillis(tokens) + millionPairs * attentionMillisPerMillionPairs;
  }

  /**
   * Returns the endpoint time that a request takes in a full batch.
   *
   * @param uncachedTokens prompt tokens that have to be prefilled
   * @param slots requests in a full batch
   */
  public double workMillis(int promptTokens, int uncachedTokens, int answerTokens, int slots) {
    double prefill = prefillMillis(uncachedTokens, promptTokens - uncachedTokens);
    return prefill + answerTokens * stepMillis(slots) / slots;
  }

  /**
   * Returns the expected wait for a slot; {@code running} includes the requests that wait for one.
   */
  public double slotWaitMillis(int running, int slots) {
    return running < slots ? 0 : (running - slots + 1) * slotHoldMillis / slots;
  }

  /** Returns the duration of one decode step for a batch size. */
  public double stepMillis(int running) {
    return baseStepMillis + stepMillisPerRequest * running;
  }
}
