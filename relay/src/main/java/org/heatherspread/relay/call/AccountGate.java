package org.heatherspread.relay.call;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.heatherspread.core.fleet.AccountShare;
import org.heatherspread.core.limit.AccountLimiter;
import org.heatherspread.core.limit.Amounts;
import org.heatherspread.core.limit.DemandShares;
import org.heatherspread.core.limit.LimitDecision;
import org.heatherspread.core.limit.LimitSlack;
import org.heatherspread.core.serving.AccountRule;
import org.heatherspread.core.time.MonotonicClock;

/**
 * This daemon's part in the limits of client accounts, which bind all daemons together.
 *
 * <p>Parts follow the demand by {@link DemandShares}. Until the other daemons are known, the part
 * is a small one. Confined to one thread.
 */
public final class AccountGate {
  /** Stands for no limit, in units a second. */
  private static final double UNLIMITED = 1e12;

  /** Daemons assumed to share a limit before any report was read. */
  private static final int UNKNOWN_DAEMONS = 12;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final LimitSlack slack;
  private final Map<String, Part> parts = new HashMap<>();
  private Collection<Map<String, AccountShare>> peers;

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
    AccountLimiter limiter = part(account).limiter;
    LimitDecision decision = limiter.admit((long) amount, clock.nanos());
    if (decision.admitted()) {
      limiter.release(0, clock.nanos());
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(decision.retryAfter().toMillis() / MILLIS_PER_SECOND);
  }

  /**
   * Takes in what is asked of the other daemons, and decides this daemon's parts anew.
   *
   * @param reports latest shares of each other daemon that may admit requests
   */
  public void peers(Iterable<AccountRule> accounts, Collection<Map<String, AccountShare>> reports) {
    peers = List.copyOf(reports);
    for (AccountRule account : accounts) {
      if (account.ratePerSecond() > 0) {
        part(account);
      }
    }
  }

  /** Measures the demand and returns this daemon's parts, for its report. */
  public Map<String, AccountShare> report() {
    Map<String, AccountShare> shares = new HashMap<>();
    parts.forEach(
        (name, part) -> {
          part.demand = part.limiter.takeDemand(clock.nanos()).tokens();
          shares.put(name, new AccountShare(part.demand, part.share));
        });
    return shares;
  }

  private Part part(AccountRule account) {
    Part part = parts.computeIfAbsent(account.name(), name -> new Part(account));
    part.apply(account);
    return part;
  }

  private double share(AccountRule account, double demand) {
    double rate = account.ratePerSecond();
    if (peers == null) {
      return rate / UNKNOWN_DAEMONS;
    }
    List<Double> others = new ArrayList<>();
    for (Map<String, AccountShare> peer : peers) {
      AccountShare share = peer.get(account.name());
      others.add(share == null ? 0 : share.demand());
    }
    return DemandShares.part(rate, demand, others);
  }

  /** The part in one account's limit. */
  private final class Part {
    private AccountLimiter limiter;
    private double rate;
    private double share;
    private double demand;
    private Collection<Map<String, AccountShare>> decidedBy;

    private Part(AccountRule account) {
      start(account);
    }

    private void start(AccountRule account) {
      rate = account.ratePerSecond();
      share = share(account, demand);
      decidedBy = peers;
      double burst = slack.burst(rate, account.burst());
      limiter = AccountLimiter.create(burst / rate, amounts(share), clock.nanos());
    }

    private void apply(AccountRule account) {
      if (rate != account.ratePerSecond()) {
        start(account);
        return;
      }
      if (decidedBy != peers) {
        decidedBy = peers;
        share = share(account, demand);
        limiter.share(amounts(share), clock.nanos());
      }
    }

    private static Amounts amounts(double tokens) {
      return new Amounts(UNLIMITED, tokens, UNLIMITED);
    }
  }
}
