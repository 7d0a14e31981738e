package org.heatherspread.core.placement;

/**
 * How fast a model endpoint works when nothing is wrong; each endpoint's own slowness multiplies
 * it.
 *
 * @param promptTokensPerMilli prefill speed
 * @param stepMillis time of a decode step of an empty batch
 * @param stepMillisPerRequest what each further request of the batch adds to a step
 * @param firstMillis fixed time to the first token
 */
public record EnginePace(
    double promptTokensPerMilli,
    double stepMillis,
    double stepMillisPerRequest,
    double firstMillis) {
  // Start values from the engine sheet of the deployments served; measured slowness corrects them.
  private static final double PROMPT_TOKENS_PER_MILLI = 157;
  private static final double STEP_MILLIS = 3.55;
  private static final double STEP_MILLIS_PER_REQUEST = 0.0462;
  private static final double FIRST_MILLIS = 26;
  private static final int TYPICAL_BATCH = 40;

  /** Returns the pace assumed until answers have been seen. */
  public static EnginePace defaults() {
    return new EnginePace(
        PROMPT_TOKENS_PER_MILLI, STEP_MILLIS, STEP_MILLIS_PER_REQUEST, FIRST_MILLIS);
  }

  /** Returns the time to prefill tokens. */
  public double prefillMillis(long tokens) {
    return tokens / promptTokensPerMilli;
  }

  /** Returns the part of an endpoint's time that a request takes in a well filled batch. */
  public double workMillis(long promptTokens, int answerTokens) {
    int typicalBatch = TYPICAL_BATCH;
    return prefillMillis(promptTokens) + answerTokens * stepMillis(typicalBatch) / typicalBatch;
  }

  /** Returns the time of one decode step in a batch. */
  public double stepMillis(int running) {
    return stepMillis + stepMillisPerRequest * running;
  }
}
