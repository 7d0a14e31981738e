package org.heatherspread.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.config.AccountSpec;

/**
 * Rate-limits client accounts by limits that all daemons share: holds a limiter for each account,
 * and renegotiates this daemon's shares in periodic rounds.
 *
 * <p>Thread-safe. Requests use only the limiter of their account; rounds are serialized.
 */
public final class SharedLimiter {
  private final double burstSeconds;
  private final Map<String, AccountState> accounts = new ConcurrentHashMap<>();
  private volatile int daemons = 1;
  private long round;

  private static final class AccountState {
    final AccountLimiter limiter;
    final ShareNegotiator negotiator = ShareNegotiator.create();

    AccountState(AccountLimiter limiter) {
      this.limiter = limiter;
    }
  }

  private SharedLimiter(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /**
   * Creates a limiter without accounts.
   *
   * @param burstSeconds capacity of the buckets, in seconds at the limited rate
   */
  public static SharedLimiter create(double burstSeconds) {
    return new SharedLimiter(burstSeconds);
  }

  /**
   * Returns the limiter of an account. A new one starts with an even share of the limits among the
   * daemons known.
   */
  public AccountLimiter limiter(AccountSpec spec, long nowNanos) {
    AccountState known = accounts.get(spec.name());
    if (known == null) {
      known = accounts.computeIfAbsent(spec.name(), name -> createState(spec, nowNanos));
    }
    return known.limiter;
  }

  private AccountState createState(AccountSpec spec, long nowNanos) {
    ResourceAmounts share = ResourceAmounts.of(spec.limits()).times(1.0 / daemons);
    return new AccountState(AccountLimiter.create(burstSeconds, share, nowNanos));
  }

  /**
   * Renegotiates this daemon's shares of all limits and returns the report for the other daemons.
   *
   * @param specs all accounts by name; the state of other accounts is discarded
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
    Map<String, LimitUsage> usage = new HashMap<>();
    for (AccountSpec spec : specs.values()) {
      limiter(spec, nowNanos);
      AccountState account = accounts.get(spec.name());
      ResourceAmounts demand = account.limiter.sampleDemand(nowNanos);
      ResourceAmounts share =
          account.negotiator.negotiate(
              ResourceAmounts.of(spec.limits()), demand, peers, reports, spec.name());
      account.limiter.updateShare(share, nowNanos);
      usage.put(spec.name(), new LimitUsage(demand, share));
    }
    round++;
    return new LimitUsageReport(round, usage);
  }
}
