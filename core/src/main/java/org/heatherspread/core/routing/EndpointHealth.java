package org.heatherspread.core.routing;

/**
 * Tracks the health of one endpoint. Ejects it after consecutive failures or when it is far slower
 * than expected, and readmits it through single trial requests.
 *
 * <p>States: healthy; ejected for a pause that doubles with each ejection; trial, in which one
 * request at a time is admitted; ramp-up, during which the endpoint carries a decreasing penalty.
 * Invariant: only a success during the trial ends an ejection. Thread-safe.
 */
public final class EndpointHealth {
  private static final double SMOOTHING = 0.1;

  private final HealthPolicy policy;
  private int consecutiveFailures;
  private int ejections;
  private int samples;
  private double latencyRatio = 1;
  private boolean trialRunning;
  private volatile boolean ejected;
  private volatile long pauseEndsMillis;
  private volatile long readmittedAtMillis = Long.MIN_VALUE;

  private EndpointHealth(HealthPolicy policy) {
    this.policy = policy;
  }

  /** Creates the state of a healthy endpoint. */
  public static EndpointHealth create(HealthPolicy policy) {
    return new EndpointHealth(policy);
  }

  /** Returns whether the endpoint is ejected, including while a trial is due. */
  public boolean isEjected() {
    return ejected;
  }

  /** Returns whether the endpoint may receive a request now: it is healthy, or a trial is due. */
  public boolean admits(long nowMillis) {
    return !ejected || (nowMillis >= pauseEndsMillis && !isTrialRunning());
  }

  /**
   * Returns the remaining share of the ramp-up: 1 right after readmission, 0 once it is complete.
   */
  public double remainingRampUp(long nowMillis) {
    long readmittedAt = readmittedAtMillis;
    if (readmittedAt == Long.MIN_VALUE) {
      return 0;
    }
    double elapsedShare = (double) (nowMillis - readmittedAt) / policy.rampUp().toMillis();
    return Math.max(0, 1 - elapsedShare);
  }

  /** Records a request sent to the endpoint. During an ejection it is the trial request. */
  public synchronized void recordDispatch() {
    if (ejected) {
      trialRunning = true;
    }
  }

  /** Records the first token of an answer and the ratio of its observed to its expected delay. */
  public synchronized void recordSuccess(double observedOverExpected, long nowMillis) {
    consecutiveFailures = 0;
    samples++;
    latencyRatio +=
        SMOOTHING * (Math.min(observedOverExpected, 10 * policy.slowRatio()) - latencyRatio);
    if (ejected) {
      endEjection(nowMillis);
      return;
    }
    if (samples >= policy.slowSamples() && latencyRatio > policy.slowRatio()) {
      eject(nowMillis);
    }
  }

  /** Records a failure caused by the endpoint rather than by the request. */
  public synchronized void recordFailure(long nowMillis) {
    consecutiveFailures++;
    if (ejected || consecutiveFailures >= policy.consecutiveFailures()) {
      eject(nowMillis);
    }
  }

  /** Records that a trial ended without a result, for example because the caller cancelled. */
  public synchronized void recordInconclusive() {
    trialRunning = false;
  }

  private synchronized boolean isTrialRunning() {
    return trialRunning;
  }

  private void eject(long nowMillis) {
    long pause = policy.initialPause().toMillis() << Math.min(ejections, 16);
    ejections++;
    pauseEndsMillis = nowMillis + Math.min(pause, policy.maxPause().toMillis());
    trialRunning = false;
    samples = 0;
    latencyRatio = 1;
    ejected = true;
  }

  private void endEjection(long nowMillis) {
    trialRunning = false;
    consecutiveFailures = 0;
    samples = 0;
    latencyRatio = 1;
    readmittedAtMillis = nowMillis;
    ejected = false;
    if (ejections > 0) {
      ejections--;
    }
  }
}
