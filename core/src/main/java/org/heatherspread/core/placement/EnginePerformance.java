package org.heatherspread.core.placement;

/**
 * How fast a model endpoint works when nothing is wrong; each endpoint's own slowness multiplies
 * it.
 *
 * @param promptTokensPerMilli prefill speed
 * @param baseStepMillis time of a decode step of an empty batch
 * @param stepMillisPerRequest what each further request of the batch adds to a step
 * @param firstTokenOverheadMillis fixed time to the first token
 * @param attentionMillisPerMillionPairs prefill time for a million pairs of a new token and an
 *     earlier one
 */
public record EnginePerformance(
    double promptTokensPerMilli,
    double baseStepMillis,
    double stepMillisPerRequest,
    double firstTokenOverheadMillis,
    double attentionMillisPerMillionPairs) {
  // Start values from the engine sheet of the deployments served; measured slowness corrects them.
  private static final double PROMPT_TOKENS_PER_MILLI = 157;
  private static final double STEP_MILLIS = 3.55;
  private static final double STEP_MILLIS_PER_REQUEST = 0.0462;
  private static final double FIRST_MILLIS = 26;
  private static final double PAIR_MILLIS_PER_MILLION = 0.109;
  private static final double PAIRS_PER_MILLION = 1e6;

  /** Time for which a request of usual length holds its place in a batch, in milliseconds. */
  private static final double PLACE_MILLIS = 1_400;

  /** Returns the pace assumed until answers have been seen. */
  public static EnginePerformance defaults() {
    return new EnginePerformance(
        PROMPT_TOKENS_PER_MILLI,
        STEP_MILLIS,
        STEP_MILLIS_PER_REQUEST,
        FIRST_MILLIS,
        PAIR_MILLIS_PER_MILLION);
  }

  /** Returns the time to prefill tokens. */
  public double prefillMillis(long tokens) {
    return tokens / promptTokensPerMilli;
  }

  /** Returns the time to prefill tokens behind others that are kept already. */
  public double prefillMillis(long tokens, long kept) {
    double pairs = tokens * (kept + tokens / 2.0) / PAIRS_PER_MILLION;
    return prefillMillis(tokens) + pairs * attentionMillisPerMillionPairs;
  }

  /**
   * Returns the part of an endpoint's time that a request takes in a full batch.
   *
   * @param uncachedTokens tokens of the prompt that have to be prefilled
   * @param slots requests in a full batch
   */
  public double workMillis(int promptTokens, int uncachedTokens, int answerTokens, int slots) {
    double prefill = prefillMillis(uncachedTokens, promptTokens - uncachedTokens);
    return prefill + answerTokens * stepMillis(slots) / slots;
  }

  /** Returns the wait for a place in a batch, with all requests there counted. */
  public double slotWaitMillis(int running, int slots) {
    return running < slots ? 0 : (running - slots + 1) * PLACE_MILLIS / slots;
  }

  /** Returns the time of one decode step in a batch. */
  public double stepMillis(int running) {
    return baseStepMillis + stepMillisPerRequest * running;
  }
}
