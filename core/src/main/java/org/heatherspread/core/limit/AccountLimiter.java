package org.heatherspread.core.limit;

/**
 * Applies this daemon's share of one account's limits: a token bucket for requests, one for tokens
 * and a count of requests in progress. Answer tokens are charged when they are known, so the token
 * bucket may go below zero and refuses until it is filled again. A share of less than one request
 * in progress admits one, so that small limits stay usable; all daemons together may then exceed
 * the limit by fewer requests than there are daemons.
 *
 * <p>Safe for use by any thread: all methods exclude each other. Invariants: the count is never
 * negative; a bucket never holds more than its share of {@code burstSeconds}, or one request.
 */
public final class AccountLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double DEMAND_SECONDS = 2;
  private static final double ROUNDING = 1e-6;

  private final double burstSeconds;
  private ResourceAmounts share;
  private double requestTokens;
  private double tokens;
  private int inProgress;
  private int highest;
  private int refusedForConcurrency;
  private double offeredRequests;
  private double offeredTokens;
  private long refilledNanos;
  private long measuredNanos;
  private double demandRequests;
  private double demandTokens;

  private AccountLimiter(double burstSeconds, ResourceAmounts share, long nowNanos) {
    this.burstSeconds = burstSeconds;
    this.share = share;
    this.requestTokens = requestCapacity();
    this.tokens = tokenCapacity();
    this.refilledNanos = nowNanos;
    this.measuredNanos = nowNanos;
  }

  /** Creates a limiter with full buckets. */
  public static AccountLimiter create(double burstSeconds, ResourceAmounts share, long nowNanos) {
    return new AccountLimiter(burstSeconds, share, nowNanos);
  }

  /** Creates a limiter with empty buckets, which fill from now on. */
  public static AccountLimiter createEmpty(
      double burstSeconds, ResourceAmounts share, long nowNanos) {
    AccountLimiter limiter = new AccountLimiter(burstSeconds, share, nowNanos);
    limiter.requestTokens = 0;
    limiter.tokens = 0;
    return limiter;
  }

  /** Replaces the share; what is in the buckets stays, up to the new capacity. */
  public synchronized void updateShare(ResourceAmounts next, long nowNanos) {
    refill(nowNanos);
    share = next;
    requestTokens = Math.min(requestTokens, requestCapacity());
    tokens = Math.min(tokens, tokenCapacity());
  }

  /** Admits a request or tells why not. */
  public synchronized LimitDecision admit(long promptTokens, long nowNanos) {
    refill(nowNanos);
    offeredRequests++;
    offeredTokens += promptTokens;
    if (inProgress >= concurrencyBound()) {
      refusedForConcurrency++;
      return LimitDecision.refused(LimitDecision.Reason.CONCURRENCY, 1);
    }
    if (requestTokens < 1) {
      double seconds = (1 - requestTokens) / Math.max(share.requests(), 1e-3);
      return LimitDecision.refused(LimitDecision.Reason.REQUESTS, seconds);
    }
    if (tokens <= 0) {
      double seconds = (1 - tokens) / Math.max(share.tokens(), 1e-3);
      return LimitDecision.refused(LimitDecision.Reason.TOKENS, seconds);
    }
    requestTokens--;
    tokens -= promptTokens;
    inProgress++;
    highest = Math.max(highest, inProgress);
    return LimitDecision.ADMITTED;
  }

  /** Ends an admitted request and charges its answer. */
  public synchronized void release(long answerTokens, long nowNanos) {
    if (inProgress == 0) {
      throw new IllegalStateException("more requests ended than were admitted");
    }
    refill(nowNanos);
    inProgress--;
    tokens -= answerTokens;
    offeredTokens += answerTokens;
  }

  /** Returns the requests in progress. */
  public synchronized int inProgress() {
    return inProgress;
  }

  /** Returns what callers ask for, smoothed over about two seconds, and starts a new interval. */
  public synchronized ResourceAmounts sampleDemand(long nowNanos) {
    double seconds = (nowNanos - measuredNanos) / NANOS_PER_SECOND;
    if (seconds > 0) {
      double weight = 1 - Math.exp(-seconds / DEMAND_SECONDS);
      demandRequests += weight * (offeredRequests / seconds - demandRequests);
      demandTokens += weight * (offeredTokens / seconds - demandTokens);
      offeredRequests = 0;
      offeredTokens = 0;
      measuredNanos = nowNanos;
    }
    double concurrency = highest + refusedForConcurrency;
    highest = inProgress;
    refusedForConcurrency = 0;
    return new ResourceAmounts(demandRequests, demandTokens, concurrency);
  }

  private int concurrencyBound() {
    return share.concurrency() == 0 ? 0 : Math.max(1, (int) (share.concurrency() + ROUNDING));
  }

  private double requestCapacity() {
    return share.requests() == 0 ? 0 : Math.max(1, share.requests() * burstSeconds);
  }

  private double tokenCapacity() {
    return share.tokens() * burstSeconds;
  }

  private void refill(long nowNanos) {
    double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
    refilledNanos = Math.max(refilledNanos, nowNanos);
    requestTokens = Math.min(requestCapacity(), requestTokens + seconds * share.requests());
    tokens = Math.min(tokenCapacity(), tokens + seconds * share.tokens());
  }
}
