package org.heatherspread.core.routing;

import java.util.ArrayDeque;

/**
 * One daemon's local view of an endpoint: the latest load report, corrected by the daemon's own
 * dispatches that the report cannot include yet, and the endpoint's health.
 *
 * <p>Thread-safe: events are mutually exclusive, estimates take no lock. Invariant: a dispatch
 * counts as unreported until it ends or a report measured after it arrives.
 */
public final class EndpointView {
  private static final double WAIT_SMOOTHING = 0.3;
  private static final double WAIT_DECAY_MILLIS = 2_000;

  private final int slot;
  private final SpeedModel speed;
  private final EndpointHealth health;
  private final ArrayDeque<Dispatch> unreported = new ArrayDeque<>();
  private volatile EndpointProfile profile;
  private volatile LoadReport report = LoadReport.none();
  private volatile int ownInFlight;
  private volatile int unreportedRequests;
  private volatile long unreportedTokens;
  private volatile int endedSinceReport;
  private volatile double lastWaitMillis;
  private volatile long waitObservedAtMillis;

  private EndpointView(EndpointProfile profile, int slot, SpeedModel speed, EndpointHealth health) {
    this.profile = profile;
    this.slot = slot;
    this.speed = speed;
    this.health = health;
  }

  /**
   * Creates the view of an endpoint without reports.
   *
   * @param slot the endpoint's slot in the prefix index
   * @param speed speed model shared by all endpoints of the machine class
   */
  public static EndpointView create(
      EndpointProfile profile, int slot, SpeedModel speed, HealthPolicy policy) {
    return new EndpointView(profile, slot, speed, EndpointHealth.create(policy));
  }

  /** Returns the endpoint's latest profile. */
  public EndpointProfile profile() {
    return profile;
  }

  /** Returns the endpoint's slot in the prefix index. */
  public int slot() {
    return slot;
  }

  /** Returns the endpoint's health. */
  public EndpointHealth health() {
    return health;
  }

  /** Returns the latest report, {@link LoadReport#none()} before the first. */
  public LoadReport report() {
    return report;
  }

  /** Returns the speed model of the endpoint's machine class. */
  public SpeedModel speed() {
    return speed;
  }

  /** Returns the number of this daemon's requests in progress at the endpoint. */
  public int ownInFlight() {
    return ownInFlight;
  }

  /** Updates the profile when the same process serves something else, such as another adapter. */
  void applyProfile(EndpointProfile next) {
    profile = next;
  }

  /** Applies a report if it is newer than the current one. */
  public synchronized void applyReport(LoadReport next) {
    if (next.measuredAtMillis() <= report.measuredAtMillis()) {
      return;
    }
    speed.update(next);
    Dispatch head = unreported.peek();
    while (head != null && head.sentAtMillis < next.measuredAtMillis()) {
      markReported(unreported.poll());
      head = unreported.peek();
    }
    endedSinceReport = 0;
    report = next;
  }

  /** Records a request sent to the endpoint. */
  public synchronized Dispatch dispatch(
      int uncachedTokens, double expectedFirstTokenMillis, long nowMillis) {
    Dispatch dispatch = new Dispatch(this, nowMillis, uncachedTokens, expectedFirstTokenMillis);
    unreported.add(dispatch);
    ownInFlight++;
    unreportedRequests++;
    unreportedTokens += uncachedTokens;
    health.recordDispatch();
    return dispatch;
  }

  synchronized void recordFirstToken(Dispatch dispatch, long nowMillis) {
    if (dispatch.prefilled || dispatch.ended) {
      return;
    }
    dispatch.prefilled = true;
    if (!dispatch.reported) {
      unreportedTokens -= dispatch.uncachedTokens;
    }
    double elapsedMillis = nowMillis - dispatch.sentAtMillis;
    double wait = Math.max(0, elapsedMillis - speed.prefillMillis(dispatch.uncachedTokens));
    lastWaitMillis += WAIT_SMOOTHING * (wait - lastWaitMillis);
    waitObservedAtMillis = nowMillis;
    double expected = Math.max(1, dispatch.expectedFirstTokenMillis);
    health.recordSuccess(elapsedMillis / expected, nowMillis);
  }

  synchronized void recordEnd(Dispatch dispatch, DispatchOutcome outcome, long nowMillis) {
    if (dispatch.ended) {
      return;
    }
    if (dispatch.reported) {
      endedSinceReport++;
    } else {
      unreported.remove(dispatch);
      markReported(dispatch);
    }
    dispatch.ended = true;
    ownInFlight--;
    if (outcome == DispatchOutcome.FAILED) {
      health.recordFailure(nowMillis);
    } else if (outcome == DispatchOutcome.ABANDONED) {
      health.recordInconclusive();
    }
  }

  private void markReported(Dispatch dispatch) {
    dispatch.reported = true;
    unreportedRequests--;
    if (!dispatch.prefilled) {
      unreportedTokens -= dispatch.uncachedTokens;
    }
  }

  /**
   * Returns the expected number of requests at the endpoint.
   *
   * @param peerFactor dispatches of all daemons for each dispatch of this daemon since the report
   */
  public double expectedRequests(double peerFactor) {
    LoadReport latest = report;
    double reportedRequests = latest.running() + latest.waiting() - endedSinceReport;
    return Math.max(ownInFlight, reportedRequests + unreportedRequests * peerFactor);
  }

  /**
   * Returns the smoothed time that this daemon's latest requests waited for their prefill, decaying
   * exponentially with age. Unlike a report it does not lag.
   */
  public double observedWaitMillis(long nowMillis) {
    double age = Math.max(0, nowMillis - waitObservedAtMillis);
    return lastWaitMillis * Math.exp(-age / WAIT_DECAY_MILLIS);
  }

  /** Returns the expected number of prompt tokens that the endpoint has not computed yet. */
  public double expectedBacklogTokens(double peerFactor, long nowMillis) {
    LoadReport latest = report;
    double remainingTokens = 0;
    if (latest.waitingPromptTokens() > 0) {
      double elapsedMillis = Math.max(0, nowMillis - latest.measuredAtMillis());
      remainingTokens =
          Math.max(0, latest.waitingPromptTokens() - elapsedMillis / speed.prefillMillis(1));
    }
    return remainingTokens + unreportedTokens * peerFactor;
  }

  /** Returns the expected time until the prefill of a new request starts. */
  public double expectedWaitMillis(double peerFactor, long nowMillis) {
    double backlog = speed.prefillMillis(expectedBacklogTokens(peerFactor, nowMillis));
    return Math.max(observedWaitMillis(nowMillis), backlog);
  }
}
