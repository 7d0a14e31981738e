package org.heatherspread.core.placement;

/**
 * Estimates the performance of a service's engines from the responses that a daemon relays, since
 * engines do not report it.
 *
 * <p>Prefill and decoding are scaled separately against the initial performance, because their
 * ratio differs between models and accelerators. Both scales follow a quantile of the observed over
 * the expected time, so that single slow endpoints do not move them. The quantiles are below the
 * median, since other requests only ever slow down a first token or an answer. The fixed part of
 * the delay of a first token is that of short prompts. Confined to one thread.
 */
public final class EnginePerformanceEstimator {
  /** Prefill time, at the initial performance, below which other delays dominate a first token. */
  private static final double MIN_PREFILL_MILLIS = 6;

  /** Tokens of an answer below which its pace says little. */
  private static final int MIN_DECODED_TOKENS = 15;

  private static final double PREFILL_QUANTILE = 0.45;
  private static final double DECODE_QUANTILE = 0.08;
  private static final double OVERHEAD_QUANTILE = 0.35;

  /** Change of the overhead by one observation at the median. */
  private static final double OVERHEAD_STEP_MILLIS = 1;

  private static final double MAX_OVERHEAD_MILLIS = 200;

  private static final double HOLD_SMOOTHING = 0.02;

  private final EnginePerformance initial;
  private final QuantileScale prefill = QuantileScale.create(PREFILL_QUANTILE);
  private final QuantileScale decode = QuantileScale.create(DECODE_QUANTILE);
  private double overheadMillis;
  private double slotHoldMillis;
  private EnginePerformance current;

  private EnginePerformanceEstimator(EnginePerformance initial) {
    this.initial = initial;
    this.overheadMillis = initial.firstTokenOverheadMillis();
    this.slotHoldMillis = initial.slotHoldMillis();
    this.current = initial;
  }

  /** Creates an estimator that starts with the given performance. */
  public static EnginePerformanceEstimator create(EnginePerformance initial) {
    return new EnginePerformanceEstimator(initial);
  }

  /**
   * The scales of an estimate, as daemons report them to each other. Immutable; sent as JSON under
   * the names of its components.
   *
   * @param prefill observed over initial prefill time
   * @param decode observed over initial duration of a decode step
   * @param overheadMillis fixed part of the delay of a first token
   * @param slotHoldMillis mean time for which a request occupies a slot
   * @param samples number of observed first tokens
   */
  public record Estimate(
      double prefill, double decode, double overheadMillis, double slotHoldMillis, long samples) {}

  /** Returns the current estimate. */
  public EnginePerformance performance() {
    return current;
  }

  /** Returns the scales for other daemons. */
  public Estimate estimate() {
    return new Estimate(
        prefill.value(), decode.value(), overheadMillis, slotHoldMillis, prefill.samples());
  }

  /**
   * Adopts the estimate of another daemon or of an earlier process, unless as many observations
   * have been made here.
   */
  public void adopt(Estimate estimate) {
    if (estimate.samples() <= prefill.samples()
        || !isScale(estimate.prefill())
        || !isScale(estimate.decode())
        || !isOverhead(estimate.overheadMillis())
        || !(estimate.slotHoldMillis() > 0)) {
      return;
    }
    prefill.set(estimate.prefill(), estimate.samples());
    decode.set(estimate.decode(), estimate.samples());
    overheadMillis = estimate.overheadMillis();
    slotHoldMillis = estimate.slotHoldMillis();
    update();
  }

  private static boolean isScale(double value) {
    return value >= QuantileScale.MIN_SCALE && value <= QuantileScale.MAX_SCALE;
  }

  private static boolean isOverhead(double millis) {
    return millis >= 0 && millis <= MAX_OVERHEAD_MILLIS;
  }

  /**
   * Records the delay of a first token at an endpoint whose batch was not full.
   *
   * @param queuedTokens prompt tokens of other requests that were waiting for their prefill
   * @param uncachedTokens prompt tokens of the request to be prefilled
   * @param cachedTokens prompt tokens that precede them
   */
  public void recordFirstToken(
      double observedMillis, long queuedTokens, int uncachedTokens, int cachedTokens) {
    double expected =
        initial.prefillMillis(queuedTokens) + initial.prefillMillis(uncachedTokens, cachedTokens);
    double step = current.stepMillis(1);
    if (expected < MIN_PREFILL_MILLIS) {
      recordOverhead(observedMillis - step - prefill.value() * expected);
      return;
    }
    prefill.record(Math.max(0, observedMillis - step - overheadMillis) / expected);
    update();
  }

  private void recordOverhead(double observedMillis) {
    double direction = observedMillis > overheadMillis ? OVERHEAD_QUANTILE : OVERHEAD_QUANTILE - 1;
    double next = overheadMillis + 2 * OVERHEAD_STEP_MILLIS * direction;
    overheadMillis = Math.min(MAX_OVERHEAD_MILLIS, Math.max(0, next));
    update();
  }

  /**
   * Records a complete answer.
   *
   * @param millis time from the first to the last token
   * @param tokens number of tokens in this time
   * @param running requests in the batch
   */
  public void recordDecoding(double millis, long tokens, int running) {
    if (tokens < MIN_DECODED_TOKENS) {
      return;
    }
    decode.record(millis / tokens / initial.stepMillis(running));
    update();
  }

  /** Records the time for which a complete request occupied a slot. */
  public void recordSlotHold(double millis) {
    slotHoldMillis += HOLD_SMOOTHING * (millis - slotHoldMillis);
    update();
  }

  private void update() {
    current = initial.scaled(prefill.value(), decode.value(), overheadMillis, slotHoldMillis);
  }
}
