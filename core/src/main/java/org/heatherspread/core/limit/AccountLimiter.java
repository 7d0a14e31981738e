package org.heatherspread.core.limit;

/**
 * Enforces this daemon's share of one account's limits with a token bucket for requests, another
 * for model tokens, and a count of requests in progress. Answer tokens are charged once they are
 * known, so the token bucket may go negative; requests are then refused until it is refilled. A
 * nonzero concurrency share below one admits one request, so that small limits stay usable; all
 * daemons together may then exceed the limit by fewer requests than there are daemons.
 *
 * <p>Thread-safe; all methods are synchronized. Invariants: the count of requests in progress is
 * never negative; a bucket never holds more than {@code burstSeconds} of its share, except that the
 * request bucket may always hold one request.
 */
public final class AccountLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DEMAND_SMOOTHING_SECONDS = 2;
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final double burstSeconds;
  private ResourceAmounts share;
  private double availableRequests;
  private double availableTokens;
  private int inProgress;
  private int peakInProgress;
  private int refusedForConcurrency;
  private double offeredRequests;
  private double offeredTokens;
  private long lastRefillNanos;
  private long lastSampleNanos;
  private double demandRequests;
  private double demandTokens;

  private AccountLimiter(double burstSeconds, ResourceAmounts share, long nowNanos) {
    this.burstSeconds = burstSeconds;
    this.share = share;
    this.availableRequests = requestCapacity();
    this.availableTokens = tokenCapacity();
    this.lastRefillNanos = nowNanos;
    this.lastSampleNanos = nowNanos;
  }

  /** Creates a limiter with full buckets. */
  public static AccountLimiter create(double burstSeconds, ResourceAmounts share, long nowNanos) {
    return new AccountLimiter(burstSeconds, share, nowNanos);
  }

  /** Creates a limiter whose buckets are empty at {@code nowNanos}. */
  public static AccountLimiter createEmpty(
      double burstSeconds, ResourceAmounts share, long nowNanos) {
    AccountLimiter limiter = new AccountLimiter(burstSeconds, share, nowNanos);
    limiter.availableRequests = 0;
    limiter.availableTokens = 0;
    return limiter;
  }

  /**
   * Returns a limiter with other capacities, whose buckets hold what those of this one hold, as far
   * as they can.
   */
  public synchronized AccountLimiter resize(
      double newBurstSeconds, ResourceAmounts newShare, long nowNanos) {
    refill(nowNanos);
    AccountLimiter resized = new AccountLimiter(newBurstSeconds, newShare, nowNanos);
    resized.availableRequests = Math.min(resized.availableRequests, availableRequests);
    resized.availableTokens = Math.min(resized.availableTokens, availableTokens);
    return resized;
  }

  /** Replaces the share; the contents of the buckets are kept up to the new capacity. */
  public synchronized void updateShare(ResourceAmounts next, long nowNanos) {
    refill(nowNanos);
    share = next;
    availableRequests = Math.min(availableRequests, requestCapacity());
    availableTokens = Math.min(availableTokens, tokenCapacity());
  }

  /** Admits a request, or returns the limit that refused it and when to retry. */
  public synchronized LimitDecision admit(long promptTokens, long nowNanos) {
    refill(nowNanos);
    offeredRequests++;
    offeredTokens += promptTokens;
    if (inProgress >= maxInProgress()) {
      refusedForConcurrency++;
      return LimitDecision.refused(LimitDecision.Reason.CONCURRENCY, 1);
    }
    if (availableRequests < 1) {
      double seconds = (1 - availableRequests) / Math.max(share.requests(), 1e-3);
      return LimitDecision.refused(LimitDecision.Reason.REQUESTS, seconds);
    }
    if (availableTokens <= 0) {
      double seconds = (1 - availableTokens) / Math.max(share.tokens(), 1e-3);
      return LimitDecision.refused(LimitDecision.Reason.TOKENS, seconds);
    }
    availableRequests--;
    availableTokens -= promptTokens;
    inProgress++;
    peakInProgress = Math.max(peakInProgress, inProgress);
    return LimitDecision.ADMITTED;
  }

  /**
   * Ends an admitted request and charges its answer tokens.
   *
   * @throws IllegalStateException if no request is in progress
   */
  public synchronized void release(long answerTokens, long nowNanos) {
    if (inProgress == 0) {
      throw new IllegalStateException("release() called with no request in progress");
    }
    refill(nowNanos);
    inProgress--;
    availableTokens -= answerTokens;
    offeredTokens += answerTokens;
  }

  /** Returns the tokens left, negative if more were charged than had accumulated. */
  synchronized double availableTokens(long nowNanos) {
    refill(nowNanos);
    return availableTokens;
  }

  /** Charges tokens that were admitted elsewhere; the token bucket may go negative. */
  public synchronized void charge(long tokens, long nowNanos) {
    refill(nowNanos);
    availableTokens -= tokens;
  }

  /** Charges requests that were admitted elsewhere; the request bucket may go negative. */
  public synchronized void chargeRequests(double requests, long nowNanos) {
    refill(nowNanos);
    availableRequests -= requests;
  }

  /** Returns the number of admitted requests that have not been released. */
  public synchronized int inProgress() {
    return inProgress;
  }

  /**
   * Returns the demand of callers, refused requests included, and starts a new measuring interval.
   * Rates are smoothed exponentially over about two seconds.
   */
  public synchronized ResourceAmounts sampleDemand(long nowNanos) {
    double seconds = (nowNanos - lastSampleNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      double weight = 1 - Math.exp(-seconds / DEMAND_SMOOTHING_SECONDS);
      demandRequests += weight * (offeredRequests / seconds - demandRequests);
      demandTokens += weight * (offeredTokens / seconds - demandTokens);
      offeredRequests = 0;
      offeredTokens = 0;
      lastSampleNanos = nowNanos;
    }
    double concurrency = peakInProgress + refusedForConcurrency;
    peakInProgress = inProgress;
    refusedForConcurrency = 0;
    return new ResourceAmounts(demandRequests, demandTokens, concurrency);
  }

  private int maxInProgress() {
    return share.concurrency() == 0
        ? 0
        : Math.max(1, (int) (share.concurrency() + ROUNDING_TOLERANCE));
  }

  private double requestCapacity() {
    return share.requests() == 0 ? 0 : Math.max(1, share.requests() * burstSeconds);
  }

  private double tokenCapacity() {
    return share.tokens() * burstSeconds;
  }

  private void refill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
    lastRefillNanos = Math.max(lastRefillNanos, nowNanos);
    availableRequests = Math.min(requestCapacity(), availableRequests + seconds * share.requests());
    availableTokens = Math.min(tokenCapacity(), availableTokens + seconds * share.tokens());
  }
}
