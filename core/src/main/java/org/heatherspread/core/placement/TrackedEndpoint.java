package org.heatherspread.core.placement;

import java.util.List;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.routing.EndpointHealth;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.RegisteredEndpoint;

/**
 * One daemon's state for one incarnation of an endpoint: its registration, the daemon's own
 * requests, the load reported by other daemons, the estimated prompt cache, and the observed health
 * and latency. Confined to one thread.
 */
public final class TrackedEndpoint {
  private static final double SLOWNESS_SMOOTHING = 0.15;
  private static final double MAX_SLOWNESS = 20;
  private static final double WAIT_SMOOTHING = 0.4;

  /** Time constant of the exponential decay of observed waits. */
  private static final double WAIT_DECAY_MILLIS = 800;

  /**
   * Wait recorded for a refusal, about that of the queue beyond which an endpoint refuses requests.
   */
  private static final double REFUSAL_WAIT_MILLIS = 1_500;

  private final EndpointHealth health;
  private final PromptCacheEstimate promptCache;

  /** Speed and failures observed by all daemons. Null if they are not observed. */
  private final EndpointObservations observations;

  private final EndpointDemand demand = EndpointDemand.create();
  private final long longPromptScore;
  private RegisteredEndpoint registration;
  private int running;
  private long pendingTokens;
  private long heldTokens;
  private StaleLoad peerLoad = StaleLoad.NONE;
  private double slowness = 1;
  private double lastWaitMillis;
  private long waitObservedAtMillis;
  private long unusableAtMillis = Long.MAX_VALUE;
  private long lastProgressMillis = Long.MIN_VALUE;
  private long lastFailureMillis = Long.MIN_VALUE;
  private boolean announcedLeaving;
  private long restsUntilMillis = Long.MIN_VALUE;
  private boolean stopped;
  private long stoppedMillis;
  private long runningSinceMillis = Long.MIN_VALUE;
  private long disconnectedMillis = Long.MIN_VALUE;
  private long reportedMillis = Long.MIN_VALUE;
  private boolean doubtful;

  private TrackedEndpoint(
      RegisteredEndpoint registration,
      EndpointHealth health,
      PromptCacheEstimate promptCache,
      EndpointObservations observations) {
    this.registration = registration;
    this.health = health;
    this.promptCache = promptCache;
    this.observations = observations;
    this.longPromptScore = LongPromptEndpoints.score(registration.id());
  }

  static TrackedEndpoint create(
      RegisteredEndpoint registration, HealthPolicy policy, long cacheTokens, boolean uneven) {
    return new TrackedEndpoint(
        registration,
        EndpointHealth.create(policy),
        PromptCacheEstimate.create(cacheTokens),
        uneven ? EndpointObservations.create() : null);
  }

  /** Returns the latest registration of this incarnation. */
  public RegisteredEndpoint registration() {
    return registration;
  }

  /** Returns the endpoint's id. */
  public String id() {
    return registration.id();
  }

  /** Returns the health derived from the outcomes of this daemon's requests. */
  public EndpointHealth health() {
    return health;
  }

  /** Returns the number of this daemon's requests in progress at the endpoint. */
  public int running() {
    return running;
  }

  /** Returns the load that this daemon causes and reports to other daemons. */
  public EndpointLoad ownLoad() {
    return new EndpointLoad(running, pendingTokens);
  }

  /** Returns the load that this daemon causes, with the recent responses that it saw. */
  EndpointLoad ownLoadWithOutcomes(long nowMillis) {
    return observations == null
        ? ownLoad()
        : new EndpointLoad(
            running,
            pendingTokens,
            observations.ownOutcomes(nowMillis),
            demand.own(nowMillis),
            heldTokens);
  }

  /** Returns the total load of all daemons. */
  public EndpointLoad load() {
    return peerLoad.load().plus(ownLoad());
  }

  /**
   * Returns the requests of all daemons that are expected to run by now.
   *
   * @param holdMillis mean duration of a request
   */
  double expectedRunning(long nowMillis, double holdMillis) {
    return running + peerLoad.running(nowMillis, holdMillis);
  }

  /**
   * Returns the prompt tokens of all daemons that are expected to wait for their prefill by now.
   *
   * @param tokensPerMilli prefill throughput of the endpoint
   */
  double expectedPromptTokens(long nowMillis, double tokensPerMilli) {
    return pendingTokens + peerLoad.promptTokens(nowMillis, tokensPerMilli);
  }

  /**
   * Returns the ratio of the endpoint's times to those of an average one, by the recent responses
   * of all daemons; 1 if they are not observed.
   */
  public double recentSlowness(long nowMillis) {
    return observations == null ? 1 : observations.slowness(nowMillis);
  }

  /**
   * Returns the tokens that the requests of all daemons are expected to hold by now, with their
   * answers.
   *
   * @param holdMillis mean duration of a request
   */
  public double expectedHeldTokens(long nowMillis, double holdMillis) {
    return heldTokens + peerLoad.heldTokens(nowMillis, holdMillis);
  }

  /** Returns the position in the order in which long prompts use endpoints; highest first. */
  long longPromptScore() {
    return longPromptScore;
  }

  /** Returns the recent work of all daemons. */
  double recentDemand(long nowMillis) {
    return demand.total(nowMillis);
  }

  /** Returns the recent work of all daemons for long prompts. */
  double recentLongDemand(long nowMillis) {
    return demand.totalLong(nowMillis);
  }

  /** Returns by how much the recent share of failed requests exceeds 0.04; 0 if not observed. */
  public double failureShare(long nowMillis) {
    return observations == null ? 0 : observations.failureShare(nowMillis);
  }

  /**
   * Returns the smoothed time by which first tokens exceeded their expectation, decaying
   * exponentially with age.
   */
  public double observedWaitMillis(long nowMillis) {
    return lastWaitMillis * Math.exp(-(nowMillis - waitObservedAtMillis) / WAIT_DECAY_MILLIS);
  }

  private void recordWait(double millis, long nowMillis) {
    double decayed = observedWaitMillis(nowMillis);
    lastWaitMillis = decayed + WAIT_SMOOTHING * (millis - decayed);
    waitObservedAtMillis = nowMillis;
  }

  /** Returns the smoothed ratio of observed to expected latency. */
  public double slowness() {
    return slowness;
  }

  /** Records that the endpoint sent data for any request. */
  public void recordProgress(long nowMillis) {
    lastProgressMillis = nowMillis;
  }

  /** Returns the time at which the endpoint last sent data, {@code Long.MIN_VALUE} if never. */
  public long lastProgressMillis() {
    return lastProgressMillis;
  }

  /** Returns the time at which a request last failed here, {@code Long.MIN_VALUE} if never. */
  long lastFailureMillis() {
    return lastFailureMillis;
  }

  /** Returns whether the endpoint takes part in the service. */
  public boolean isUsable(long nowMillis) {
    return !gaveNotice() && nowMillis < unusableAtMillis;
  }

  /** Returns whether this incarnation has said that it leaves. */
  boolean gaveNotice() {
    return registration.leaving() || announcedLeaving;
  }

  /** Returns whether a request may be sent now. */
  public boolean acceptsRequests(long nowMillis) {
    return isUsable(nowMillis) && restMillis(nowMillis) == 0;
  }

  /**
   * Records that this incarnation leaves, according to a response, which the registration may not
   * say or say later.
   *
   * @return whether that is new
   */
  public boolean markLeaving() {
    boolean changed = !gaveNotice();
    announcedLeaving = true;
    return changed;
  }

  /**
   * Records that nothing listened at the endpoint's address, so that this incarnation has ended:
   * what listens there later is another one, whose version is not known before it is registered.
   *
   * @param atMillis time at which nothing listened
   * @return whether that is new
   */
  public boolean markStopped(long atMillis) {
    if (atMillis <= runningSinceMillis) {
      return false;
    }
    boolean changed = !stopped;
    stopped = true;
    stoppedMillis = Math.max(stoppedMillis, atMillis);
    return changed;
  }

  /** Returns whether this incarnation has ended. */
  public boolean hasStopped() {
    return stopped;
  }

  /**
   * Records that all connections of this daemon were lost, so that this incarnation may have ended.
   */
  public void recordDisconnection(long atMillis) {
    disconnectedMillis = Math.max(disconnectedMillis, atMillis);
  }

  /** Returns whether all connections of this daemon were lost since the endpoint certainly ran. */
  public boolean isDisconnected() {
    return disconnectedMillis > runningSinceMillis;
  }

  /** Records that another daemon, which lost its connections, has this incarnation in doubt. */
  public void recordReportedDoubt(long atMillis) {
    reportedMillis = Math.max(reportedMillis, atMillis);
  }

  /** Returns whether another daemon had doubts since the endpoint certainly ran. */
  public boolean isReportedDoubtful() {
    return reportedMillis > runningSinceMillis;
  }

  /**
   * Records that another incarnation would not be known by its registration. This one is in doubt
   * if connections were lost since it certainly ran.
   *
   * @return whether that is new
   */
  public boolean markUnverifiable() {
    boolean changed = !doubtful && (isDisconnected() || isReportedDoubtful());
    doubtful |= changed;
    return changed;
  }

  /** Returns whether another incarnation may be in the place of this one. */
  public boolean mayHaveStopped() {
    return stopped || doubtful;
  }

  /**
   * Records that the endpoint certainly was the registered incarnation, or another one of the same
   * version, at a time.
   *
   * @return whether it was taken for stopped or was in doubt, and no longer is
   */
  public boolean confirmRunning(long atMillis) {
    runningSinceMillis = Math.max(runningSinceMillis, atMillis);
    final boolean before = mayHaveStopped();
    stopped &= stoppedMillis > atMillis;
    doubtful &= Math.max(disconnectedMillis, reportedMillis) > atMillis;
    return before && !mayHaveStopped();
  }

  /** Records that the endpoint wants no requests of this daemon for some time. */
  public void rest(long nowMillis, long millis) {
    restsUntilMillis = Math.max(restsUntilMillis, nowMillis + millis);
  }

  /** Returns the time for which the endpoint wants no requests of this daemon. */
  public long restMillis(long nowMillis) {
    return restsUntilMillis > nowMillis ? restsUntilMillis - nowMillis : 0;
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

  /** Replaces the load reported by other daemons. */
  void updatePeerLoad(StaleLoad load, long nowMillis) {
    peerLoad = load;
    demand.updatePeers(load.load().demand(), nowMillis);
    if (observations != null) {
      observations.updatePeers(load.load().outcomes(), load.meanLogSlowness(), nowMillis);
    }
  }

  /** Returns the number of leading prompt tokens that the endpoint is expected to have cached. */
  public int cachedTokens(Workload work) {
    return promptCache.cachedTokens(work.segments());
  }

  /** Records that another daemon sent a request with a shared prefix to the endpoint. */
  void recordPeerPrefix(List<PromptSegment> prefix) {
    promptCache.recordUse(prefix);
  }

  List<List<PromptSegment>> takeNewPrefixes() {
    return promptCache.takeNewPrefixes();
  }

  /** Records a request sent to the endpoint, which must be ended exactly once. */
  public TrackedRequest startRequest(Workload work) {
    health.recordDispatch();
    running++;
    int uncachedTokens = Math.max(0, work.promptTokens() - cachedTokens(work));
    pendingTokens += uncachedTokens;
    heldTokens += uncachedTokens + work.answerTokens();
    promptCache.recordRequest(work.segments(), work.sharedSegments());
    return new TrackedRequest(work, uncachedTokens);
  }

  /** A request in progress at the endpoint. */
  public final class TrackedRequest {
    private final Workload work;
    private final int uncachedTokens;
    private final double slownessBefore = observations == null ? 1 : observations.lastSlowness();
    private boolean prefilled;
    private boolean ended;

    private TrackedRequest(Workload work, int uncachedTokens) {
      this.work = work;
      this.uncachedTokens = uncachedTokens;
    }

    /** Returns the prompt tokens that the endpoint had to prefill. */
    public int uncachedTokens() {
      return uncachedTokens;
    }

    /**
     * Records that the request was sent.
     *
     * @param expectedMillis expected delay of its first event or answer
     */
    public void recordSent(double expectedMillis, long nowMillis) {
      if (observations != null && !ended) {
        demand.recordSent(work, uncachedTokens, nowMillis);
        observations.recordSent(this, expectedMillis / slownessBefore, nowMillis);
      }
    }

    /** Records the first event or the answer, with its observed and expected delay. */
    public void recordFirstResponse(double observedMillis, double expectedMillis, long nowMillis) {
      if (prefilled || ended) {
        return;
      }
      prefilled = true;
      pendingTokens -= uncachedTokens;
      recordWait(Math.max(0, observedMillis - expectedMillis), nowMillis);
      double observedOverExpected = observedMillis / Math.max(1, expectedMillis);
      double ratio = Math.min(MAX_SLOWNESS, observedOverExpected);
      slowness += SLOWNESS_SMOOTHING * (ratio - slowness);
      if (observations == null) {
        health.recordSuccess(observedOverExpected, nowMillis);
        return;
      }
      // The slowness is part of the cost; an ejection would last longer than most slow phases.
      health.recordSuccess(1, nowMillis);
      observations.recordResponse(this, nowMillis);
    }

    /** Records that the request failed because of the endpoint. */
    public void recordFailure(long nowMillis) {
      if (!ended) {
        lastFailureMillis = nowMillis;
        health.recordFailure(nowMillis);
        if (observations != null) {
          observations.recordFailure(nowMillis);
        }
      }
      end();
    }

    /** Records that the full endpoint refused the request and did not run it. */
    public void recordRefusal(long nowMillis) {
      recordWait(REFUSAL_WAIT_MILLIS, nowMillis);
      end();
    }

    /** Records the end of the request, whatever the cause. */
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      running--;
      heldTokens -= uncachedTokens + work.answerTokens();
      if (observations != null) {
        observations.recordEnd(this);
      }
      if (!prefilled) {
        pendingTokens -= uncachedTokens;
        health.recordInconclusive();
      }
    }
  }
}
