package org.heatherspread.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.config.AccountSpec;

/**
 * This daemon's side of the limits that all daemons share: a limiter for each account, and rounds
 * in which the daemons' shares follow the demand.
 *
 * <p>Safe for use by any thread; requests only touch their own account's limiter, and rounds
 * exclude each other.
 */
public final class SharedLimiter {
  private final double burstSeconds;
  private final Map<String, Account> accounts = new ConcurrentHashMap<>();
  private volatile int daemons = 1;
  private long round;

  /** One account's state. */
  private static final class Account {
    final AccountLimiter limiter;
    final ShareNegotiator negotiator = ShareNegotiator.create();

    Account(AccountLimiter limiter) {
      this.limiter = limiter;
    }
  }

  private SharedLimiter(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /**
   * Creates a limiter without accounts.
   *
   * @param burstSeconds how many seconds' worth of a rate may be used at once
   */
  public static SharedLimiter create(double burstSeconds) {
    return new SharedLimiter(burstSeconds);
  }

  /** Returns the limiter of an account; a new one starts with one part in N of the limits. */
  public AccountLimiter limiter(AccountSpec spec, long nowNanos) {
    Account known = accounts.get(spec.name());
    if (known == null) {
      known = accounts.computeIfAbsent(spec.name(), name -> open(spec, nowNanos));
    }
    return known.limiter;
  }

  private Account open(AccountSpec spec, long nowNanos) {
    ResourceAmounts part = ResourceAmounts.of(spec.limits()).times(1.0 / daemons);
    return new Account(AccountLimiter.create(burstSeconds, part, nowNanos));
  }

  /**
   * Decides all shares anew and returns what to tell the other daemons.
   *
   * @param specs all accounts by name; state of others is forgotten
   * @param peers other daemons that may be running
   * @param reports their latest reports by daemon id
   */
  public synchronized LimitUsageReport runRound(
      Map<String, AccountSpec> specs,
      Collection<String> peers,
      Map<String, LimitUsageReport> reports,
      long nowNanos) {
    daemons = peers.size() + 1;
    accounts.keySet().retainAll(specs.keySet());
    Map<String, LimitUsage> told = new HashMap<>();
    for (AccountSpec spec : specs.values()) {
      limiter(spec, nowNanos);
      Account account = accounts.get(spec.name());
      ResourceAmounts demand = account.limiter.sampleDemand(nowNanos);
      ResourceAmounts share =
          account.negotiator.negotiate(
              ResourceAmounts.of(spec.limits()), demand, peers, reports, spec.name());
      account.limiter.updateShare(share, nowNanos);
      told.put(spec.name(), new LimitUsage(demand, share));
    }
    round++;
    return new LimitUsageReport(round, told);
  }
}
