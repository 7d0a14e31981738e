package org.heatherspread.core.routing;

import java.util.ArrayDeque;

/**
 * What one daemon believes of one endpoint: its lagging load report, corrected by the daemon's own
 * dispatches that the report cannot contain yet, and its health.
 *
 * <p>Safe for use by any thread: events exclude each other, estimates take no lock. Invariant: a
 * dispatch counts as unreported until a report measured after it arrives or it ends.
 */
public final class EndpointView {
  private static final double WAIT_SMOOTHING = 0.3;
  private static final double WAIT_MEMORY_MILLIS = 2_000;

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
  private volatile double observedWaitMillis;
  private volatile long observedAtMillis;

  private EndpointView(EndpointProfile profile, int slot, SpeedModel speed, EndpointHealth health) {
    this.profile = profile;
    this.slot = slot;
    this.speed = speed;
    this.health = health;
  }

  /**
   * Creates the view of an endpoint that nothing is known of.
   *
   * @param slot the endpoint's number in the prefix index
   * @param speed shared by all endpoints of its machine class
   */
  public static EndpointView create(
      EndpointProfile profile, int slot, SpeedModel speed, HealthPolicy policy) {
    return new EndpointView(profile, slot, speed, EndpointHealth.create(policy));
  }

  /** Returns what the endpoint is and serves. */
  public EndpointProfile profile() {
    return profile;
  }

  /** Returns the endpoint's number in the prefix index. */
  public int slot() {
    return slot;
  }

  /** Returns the endpoint's health. */
  public EndpointHealth health() {
    return health;
  }

  /** Returns the latest report. */
  public LoadReport report() {
    return report;
  }

  /** Returns how fast endpoints of this machine class are. */
  public SpeedModel speed() {
    return speed;
  }

  /** Returns how many requests of this daemon are in progress there. */
  public int ownInFlight() {
    return ownInFlight;
  }

  /*
   * Events
   */

  /** Notes that the same process serves something else now, such as another adapter. */
  void applyProfile(EndpointProfile next) {
    profile = next;
  }

  /** Takes in a report, unless it is older than the one held. */
  public synchronized void applyReport(LoadReport next) {
    if (next.measuredAtMillis() <= report.measuredAtMillis()) {
      return;
    }
    speed.update(next);
    Dispatch head = unreported.peek();
    while (head != null && head.atMillis < next.measuredAtMillis()) {
      settle(unreported.poll());
      head = unreported.peek();
    }
    endedSinceReport = 0;
    report = next;
  }

  /** Notes a request sent to the endpoint. */
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
    double passed = nowMillis - dispatch.atMillis;
    double wait = Math.max(0, passed - speed.prefillMillis(dispatch.uncachedTokens));
    observedWaitMillis += WAIT_SMOOTHING * (wait - observedWaitMillis);
    observedAtMillis = nowMillis;
    double expected = Math.max(1, dispatch.expectedFirstTokenMillis);
    health.recordSuccess(passed / expected, nowMillis);
  }

  synchronized void recordEnd(Dispatch dispatch, DispatchOutcome end, long nowMillis) {
    if (dispatch.ended) {
      return;
    }
    if (dispatch.reported) {
      endedSinceReport++;
    } else {
      unreported.remove(dispatch);
      settle(dispatch);
    }
    dispatch.ended = true;
    ownInFlight--;
    if (end == DispatchOutcome.FAILED) {
      health.recordFailure(nowMillis);
    } else if (end == DispatchOutcome.ABANDONED) {
      health.recordInconclusive();
    }
  }

  private void settle(Dispatch dispatch) {
    dispatch.reported = true;
    unreportedRequests--;
    if (!dispatch.prefilled) {
      unreportedTokens -= dispatch.uncachedTokens;
    }
  }

  /*
   * Estimates
   */

  /**
   * Returns how many requests the endpoint has now.
   *
   * @param peerFactor dispatches of all daemons for each of this daemon's own since the report
   */
  public double expectedRequests(double peerFactor) {
    LoadReport last = report;
    double others = last.running() + last.waiting() - endedSinceReport;
    return Math.max(ownInFlight, others + unreportedRequests * peerFactor);
  }

  /**
   * Returns how long the prefill of this daemon's own latest requests had to wait, fading with
   * time. Unlike a report it does not lag.
   */
  public double observedWaitMillis(long nowMillis) {
    double age = Math.max(0, nowMillis - observedAtMillis);
    return observedWaitMillis * Math.exp(-age / WAIT_MEMORY_MILLIS);
  }

  /** Returns how many prompt tokens the endpoint has yet to compute. */
  public double expectedBacklogTokens(double peerFactor, long nowMillis) {
    LoadReport last = report;
    double left = 0;
    if (last.waitingPromptTokens() > 0) {
      double passed = Math.max(0, nowMillis - last.measuredAtMillis());
      left = Math.max(0, last.waitingPromptTokens() - passed / speed.prefillMillis(1));
    }
    return left + unreportedTokens * peerFactor;
  }

  /** Returns the expected time until the prefill of a new request starts. */
  public double expectedWaitMillis(double peerFactor, long nowMillis) {
    double backlog = speed.prefillMillis(expectedBacklogTokens(peerFactor, nowMillis));
    return Math.max(observedWaitMillis(nowMillis), backlog);
  }
}
