package org.heatherspread.core.routing;

/**
 * Ejects one endpoint after failures in a row or when it is far slower than expected, and lets it
 * return by single trial requests.
 *
 * <p>States: healthy; ejected for a pause that doubles each time; trial, in which one request at a
 * time is let through; ramp-up, in which the endpoint carries a penalty that fades. Invariant: only
 * a success during the trial ends an ejection. Safe for use by any thread.
 */
public final class EndpointHealth {
  private static final double SMOOTHING = 0.1;

  private final HealthPolicy policy;
  private int failuresInRow;
  private int ejections;
  private int samples;
  private double ratio = 1;
  private boolean trialRunning;
  private volatile boolean ejected;
  private volatile long pauseEndsMillis;
  private volatile long returnedMillis = Long.MIN_VALUE;

  private EndpointHealth(HealthPolicy policy) {
    this.policy = policy;
  }

  /** Creates the state of an endpoint that has done nothing wrong. */
  public static EndpointHealth create(HealthPolicy policy) {
    return new EndpointHealth(policy);
  }

  /** Tells whether the endpoint is ejected, also while a trial is due. */
  public boolean isEjected() {
    return ejected;
  }

  /** Tells whether the endpoint may get a request now: it is healthy, or a trial is due. */
  public boolean admits(long nowMillis) {
    return !ejected || (nowMillis >= pauseEndsMillis && !trialInProgress());
  }

  /** Returns what is left of the ramp-up: 1 just after the return, 0 in full service. */
  public double remainingRampUp(long nowMillis) {
    long returned = returnedMillis;
    if (returned == Long.MIN_VALUE) {
      return 0;
    }
    double passed = (double) (nowMillis - returned) / policy.rampUp().toMillis();
    return Math.max(0, 1 - passed);
  }

  /** Notes that a request goes to the endpoint; during an ejection it is the trial. */
  public synchronized void recordDispatch() {
    if (ejected) {
      trialRunning = true;
    }
  }

  /** Notes an answer's first token and how its delay compares with the expected one. */
  public synchronized void recordSuccess(double observedOverExpected, long nowMillis) {
    failuresInRow = 0;
    samples++;
    ratio += SMOOTHING * (Math.min(observedOverExpected, 10 * policy.slowRatio()) - ratio);
    if (ejected) {
      endEjection(nowMillis);
      return;
    }
    if (samples >= policy.slowSamples() && ratio > policy.slowRatio()) {
      eject(nowMillis);
    }
  }

  /** Notes a failure that speaks against the endpoint, not against the request. */
  public synchronized void recordFailure(long nowMillis) {
    failuresInRow++;
    if (ejected || failuresInRow >= policy.consecutiveFailures()) {
      eject(nowMillis);
    }
  }

  /** Notes that a trial ended without a verdict, such as by the caller's cancellation. */
  public synchronized void recordInconclusive() {
    trialRunning = false;
  }

  private synchronized boolean trialInProgress() {
    return trialRunning;
  }

  private void eject(long nowMillis) {
    long pause = policy.initialPause().toMillis() << Math.min(ejections, 16);
    ejections++;
    pauseEndsMillis = nowMillis + Math.min(pause, policy.maxPause().toMillis());
    trialRunning = false;
    samples = 0;
    ratio = 1;
    ejected = true;
  }

  private void endEjection(long nowMillis) {
    trialRunning = false;
    failuresInRow = 0;
    samples = 0;
    ratio = 1;
    returnedMillis = nowMillis;
    ejected = false;
    if (ejections > 0) {
      ejections--;
    }
  }
}
