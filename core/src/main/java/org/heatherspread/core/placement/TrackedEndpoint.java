package org.heatherspread.core.placement;

import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.routing.EndpointHealth;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.RegisteredEndpoint;

/**
 * What one daemon knows of one life of an endpoint: its registration, the daemon's own requests
 * there, the load that other daemons reported, what it holds and how it works. Confined to one
 * thread.
 */
public final class TrackedEndpoint {
  private static final double SLOWNESS_SMOOTHING = 0.15;
  private static final double SLOWNESS_MAX = 20;
  private static final double WAIT_SMOOTHING = 0.4;

  /** Time in which what was seen of a line loses most of its meaning. */
  private static final double WAIT_FADE_MILLIS = 800;

  /** Wait that a refusal stands for, about that of a line which an endpoint no longer takes. */
  private static final double REFUSED_MILLIS = 1_500;

  private final EndpointHealth health;
  private final PromptCacheEstimate held;
  private RegisteredEndpoint registration;
  private int running;
  private long pendingTokens;
  private EndpointLoad others = EndpointLoad.NONE;
  private double slowness = 1;
  private double waitMillis;
  private long waitAtMillis;
  private long unusableAtMillis = Long.MAX_VALUE;
  private long lastProgressMillis = Long.MIN_VALUE;

  private TrackedEndpoint(
      RegisteredEndpoint registration, EndpointHealth health, PromptCacheEstimate held) {
    this.registration = registration;
    this.health = health;
    this.held = held;
  }

  static TrackedEndpoint create(
      RegisteredEndpoint registration, HealthPolicy policy, long cacheTokens) {
    return new TrackedEndpoint(
        registration, EndpointHealth.create(policy), PromptCacheEstimate.create(cacheTokens));
  }

  /** Returns the newest registration of this life. */
  public RegisteredEndpoint registration() {
    return registration;
  }

  /** Returns the endpoint's identity. */
  public String id() {
    return registration.id();
  }

  /** Returns whether requests succeed there. */
  public EndpointHealth health() {
    return health;
  }

  /** Returns this daemon's requests there. */
  public int running() {
    return running;
  }

  /** Returns the load that this daemon puts on the endpoint, for its report. */
  public EndpointLoad ownLoad() {
    return new EndpointLoad(running, pendingTokens);
  }

  /** Returns the load of all daemons together. */
  public EndpointLoad load() {
    return others.plus(ownLoad());
  }

  /** Returns how much longer than expected first tokens took a moment ago, fading with time. */
  public double observedWaitMillis(long nowMillis) {
    return waitMillis * Math.exp(-(nowMillis - waitAtMillis) / WAIT_FADE_MILLIS);
  }

  private void observeWait(double millis, long nowMillis) {
    double faded = observedWaitMillis(nowMillis);
    waitMillis = faded + WAIT_SMOOTHING * (millis - faded);
    waitAtMillis = nowMillis;
  }

  /** Returns how many times longer answers take than expected. */
  public double slowness() {
    return slowness;
  }

  /** Notes that the endpoint sent something, to whichever request. */
  public void recordProgress(long nowMillis) {
    lastProgressMillis = nowMillis;
  }

  /** Returns when the endpoint last sent something, {@code Long.MIN_VALUE} if never. */
  public long lastProgressMillis() {
    return lastProgressMillis;
  }

  /** Tells whether new work may be sent. */
  public boolean isUsable(long nowMillis) {
    return !registration.leaving() && nowMillis < unusableAtMillis;
  }

  void update(RegisteredEndpoint next) {
    registration = next;
    unusableAtMillis = Long.MAX_VALUE;
  }

  void markMissing(long unusableAtMillis) {
    this.unusableAtMillis = Math.min(this.unusableAtMillis, unusableAtMillis);
  }

  boolean isMissing() {
    return unusableAtMillis != Long.MAX_VALUE;
  }

  /** Replaces the load that other daemons reported. */
  public void updatePeerLoad(EndpointLoad load) {
    others = load;
  }

  /** Returns the tokens of a prompt that the endpoint is believed to keep. */
  public int cachedTokens(Workload work) {
    return held.cachedTokens(work.segments());
  }

  /** Notes a request sent there, to be ended exactly once. */
  public TrackedRequest startRequest(Workload work) {
    health.recordDispatch();
    running++;
    int uncached = Math.max(0, work.promptTokens() - cachedTokens(work));
    pendingTokens += uncached;
    held.recordUse(work.segments());
    return new TrackedRequest(uncached);
  }

  /** A request at the endpoint. */
  public final class TrackedRequest {
    private final int uncached;
    private boolean prefilled;
    private boolean ended;

    private TrackedRequest(int uncached) {
      this.uncached = uncached;
    }

    /** Returns the prompt tokens that the endpoint had to prefill. */
    public int uncachedTokens() {
      return uncached;
    }

    /** Notes the first event or the answer, and how long it took. */
    public void recordFirstResponse(double observedMillis, double expectedMillis, long nowMillis) {
      if (prefilled || ended) {
        return;
      }
      prefilled = true;
      pendingTokens -= uncached;
      observeWait(Math.max(0, observedMillis - expectedMillis), nowMillis);
      double observedOverExpected = observedMillis / Math.max(1, expectedMillis);
      double ratio = Math.min(SLOWNESS_MAX, observedOverExpected);
      slowness += SLOWNESS_SMOOTHING * (ratio - slowness);
      health.recordSuccess(observedOverExpected, nowMillis);
    }

    /** Notes that the request failed by the endpoint's fault. */
    public void recordFailure(long nowMillis) {
      if (!ended) {
        health.recordFailure(nowMillis);
      }
      end();
    }

    /** Notes that the endpoint stated that it did not run the request, as it is full. */
    public void recordRefusal(long nowMillis) {
      observeWait(REFUSED_MILLIS, nowMillis);
      end();
    }

    /** Notes that the request ended, by whatever cause. */
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      running--;
      if (!prefilled) {
        pendingTokens -= uncached;
        health.recordInconclusive();
      }
    }
  }
}
