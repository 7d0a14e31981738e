package org.heatherspread.relay.call;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.heatherspread.core.fleet.AccountShare;
import org.heatherspread.core.limit.AccountLimiter;
import org.heatherspread.core.limit.Amounts;
import org.heatherspread.core.limit.LimitDecision;
import org.heatherspread.core.limit.LimitSlack;
import org.heatherspread.core.limit.ShareNegotiator;
import org.heatherspread.core.limit.Usage;
import org.heatherspread.core.limit.UsageReport;
import org.heatherspread.core.serving.AccountRule;
import org.heatherspread.core.time.MonotonicClock;

/**
 * This daemon's part in the limits of client accounts, which bind all daemons together.
 *
 * <p>Answers the load of one account that sends many times its usual while daemons come, go and
 * lose touch: parts follow the demand by {@link ShareNegotiator} and stay as they are while nobody
 * is heard. Confined to one thread.
 */
public final class AccountGate {
  /** Stands for no limit, in units a second. */
  private static final double UNLIMITED = 1e12;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final LimitSlack slack;
  private final Map<String, Part> parts = new HashMap<>();
  private Map<String, UsageReport> peers = Map.of();
  private int daemons = 1;

  private AccountGate(MonotonicClock clock, LimitSlack slack) {
    this.clock = clock;
    this.slack = slack;
  }

  /** Creates the gate of a daemon that knows no peers. */
  public static AccountGate create(MonotonicClock clock, LimitSlack slack) {
    return new AccountGate(clock, slack);
  }

  /**
   * Admits a request.
   *
   * @param amount requests or tokens, as the account counts
   * @return empty if admitted, else seconds until the account has room again here
   */
  public OptionalDouble admit(AccountRule account, double amount) {
    if (account.ratePerSecond() <= 0) {
      return OptionalDouble.empty();
    }
    Part part = part(account);
    LimitDecision decision = part.limiter.admit((long) amount, clock.nanos());
    if (decision.admitted()) {
      part.limiter.release(0, clock.nanos());
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(decision.retryAfter().toMillis() / MILLIS_PER_SECOND);
  }

  /**
   * Takes in what the other daemons hold and decides this daemon's part anew.
   *
   * @param reports latest report of each other daemon that may be running, by its name
   */
  public void negotiate(Iterable<AccountRule> accounts, Map<String, UsageReport> reports) {
    peers = reports;
    daemons = reports.size() + 1;
    for (AccountRule account : accounts) {
      if (account.ratePerSecond() > 0) {
        decide(account, part(account));
      }
    }
  }

  private void decide(AccountRule account, Part part) {
    if (part.rate != account.ratePerSecond()) {
      part.negotiator.rescale(account.ratePerSecond() / part.rate);
      part.rate = account.ratePerSecond();
    }
    part.demand = part.limiter.takeDemand(clock.nanos()).tokens();
    Amounts limits = new Amounts(0, account.ratePerSecond(), 0);
    Amounts share =
        part.negotiator.decide(
            limits, new Amounts(0, part.demand, 0), peers.keySet(), peers, account.name());
    part.apply(share.tokens(), clock.nanos());
  }

  /** Returns this daemon's parts, for its report. */
  public Map<String, AccountShare> shares() {
    Map<String, AccountShare> shares = new HashMap<>();
    parts.forEach((name, part) -> shares.put(name, new AccountShare(part.demand, part.share)));
    return shares;
  }

  private Part part(AccountRule account) {
    return parts.computeIfAbsent(
        account.name(), name -> new Part(account, account.ratePerSecond() / (daemons + 1)));
  }

  /** Turns a daemon's report into the form that the negotiation reads. */
  public static UsageReport report(long round, Map<String, AccountShare> shares) {
    Map<String, Usage> usage = new HashMap<>();
    shares.forEach(
        (name, share) ->
            usage.put(
                name,
                new Usage(new Amounts(0, share.demand(), 0), new Amounts(0, share.share(), 0))));
    return new UsageReport(round, usage);
  }

  /** The part in one account's limit. */
  private final class Part {
    private final AccountLimiter limiter;
    private final ShareNegotiator negotiator = ShareNegotiator.create();
    private double rate;
    private double share;
    private double demand;

    private Part(AccountRule account, double share) {
      this.rate = account.ratePerSecond();
      this.share = share;
      double burst = slack.burst(account.ratePerSecond(), account.burst());
      double burstSeconds = burst / account.ratePerSecond();
      this.limiter = AccountLimiter.create(burstSeconds, amounts(share), clock.nanos());
    }

    private void apply(double next, long nowNanos) {
      share = next;
      limiter.share(amounts(next), nowNanos);
    }

    private static Amounts amounts(double tokens) {
      return new Amounts(UNLIMITED, tokens, UNLIMITED);
    }
  }
}
