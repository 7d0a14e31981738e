package org.heatherspread.core.limit;

import org.heatherspread.core.time.MonotonicClock;

/**
 * Token bucket of one limit, with the order in which requests get its tokens and a measure of its
 * use. Starts empty. Confined to one thread.
 */
final class LimitBucket {
  /** Amount per second that stands for no limit. */
  private static final double UNLIMITED = 1e12;

  /** Window of the measured use, about that over which limits are measured. */
  private static final double USE_SECONDS = 8;

  private static final double MIN_USE_SECONDS = 1;

  /** Fraction of the capacity that covers what an order may hold for urgent requests. */
  private static final double AMPLE_FRACTION = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final OvershootAllowance allowance;
  private final SpendingOrder order;
  private final DecayingRate use;
  private RateLimit rule;
  private double rate;
  private AccountLimiter limiter;

  LimitBucket(
      MonotonicClock clock,
      OvershootAllowance allowance,
      SpendingOrder order,
      RateLimit limit,
      double rate) {
    this.clock = clock;
    this.allowance = allowance;
    this.order = order;
    this.rule = limit;
    this.rate = rate;
    this.use = DecayingRate.start(USE_SECONDS, MIN_USE_SECONDS, clock.nanos());
    this.limiter = AccountLimiter.createEmpty(burstSeconds(limit), amounts(rate), clock.nanos());
  }

  private double burstSeconds(RateLimit limit) {
    double limitRate = limit.ratePerSecond();
    return allowance.effectiveBurst(limitRate, limit.burst()) / limitRate;
  }

  /** Applies a limit that may have changed, of which this bucket gets the given rate. */
  void apply(RateLimit limit, double newRate) {
    boolean changed =
        rule.ratePerSecond() != limit.ratePerSecond() || rule.burst() != limit.burst();
    rule = limit;
    if (changed && limit.mayOverdraw()) {
      limiter = AccountLimiter.createEmpty(burstSeconds(limit), amounts(newRate), clock.nanos());
    } else if (changed) {
      limiter = limiter.resize(burstSeconds(limit), amounts(newRate), clock.nanos());
    } else if (rate != newRate) {
      limiter.updateShare(amounts(newRate), clock.nanos());
    }
    rate = newRate;
  }

  SpendingDecision admit(LimitRequest request) {
    long now = clock.nanos();
    if (rule.mayOverdraw()) {
      double available = limiter.availableTokens(now);
      double capacity = rate * burstSeconds(rule);
      SpendingDecision spending =
          order.decide(request, new SpendingOrder.Balance(available, rate, capacity, now));
      if (!spending.admitted()) {
        return spending;
      }
    }
    LimitDecision decision = limiter.admit((long) request.amount(), now);
    if (!decision.admitted()) {
      double seconds = decision.retryAfter().toMillis() / MILLIS_PER_SECOND;
      return SpendingDecision.refused(SpendingDecision.Cause.EXHAUSTED, seconds);
    }
    limiter.release(0, now);
    use.add(request.amount(), now);
    return SpendingDecision.ADMITTED;
  }

  /** Charges an amount that was admitted elsewhere. */
  void charge(double amount) {
    if (rule.mayOverdraw()) {
      limiter.charge((long) amount, clock.nanos());
    } else {
      limiter.chargeRequests(amount, clock.nanos());
    }
    use.add(amount, clock.nanos());
  }

  /** Returns whether so much is left that no request is held back for the sake of others. */
  boolean isAmple() {
    return rule.mayOverdraw()
        && limiter.availableTokens(clock.nanos()) >= AMPLE_FRACTION * rate * burstSeconds(rule);
  }

  /** Returns the part of the limit that was used recently, above 1 in a burst. */
  double usedRatio() {
    return use.perSecond(clock.nanos()) / rate;
  }

  private ResourceAmounts amounts(double perSecond) {
    return rule.mayOverdraw()
        ? new ResourceAmounts(UNLIMITED, perSecond, UNLIMITED)
        : new ResourceAmounts(perSecond, UNLIMITED, UNLIMITED);
  }
}
