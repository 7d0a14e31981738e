package org.heatherspread.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.heatherspread.core.routing.Rendezvous;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.time.MonotonicClock;

/**
 * One daemon's side of the limits of client accounts, each of which is kept whole by one daemon
 * that all others ask.
 *
 * <p>Answers the load of few, large requests of an account spread over many daemons: split evenly,
 * each daemon's part would be smaller than one request, and most would be refused although the
 * account is far below its limit. The keeper is found by rendezvous hashing over the daemons that
 * take callers, so that all agree on it without talking. A daemon that cannot ask the keeper admits
 * by a small part of its own.
 *
 * <p>Invariants: a keeper that has just become one starts with nothing saved up, and so does a part
 * that was not needed for a while; therefore a change of keepers or an unreachable keeper lets no
 * account save up its burst twice. Confined to one thread.
 */
public final class KeptLimits {
  /** Stands for no limit, in units a second. */
  private static final double UNLIMITED = 1e12;

  /** Daemons assumed to share a limit before any was read, above what small fleets have. */
  private static final int UNKNOWN_DAEMONS = 12;

  /**
   * Part of an even share that a daemon admits without its keeper. The keeper goes on admitting for
   * the others meanwhile; half of all daemons, each for as long as keys are trusted without the
   * store, have to stay within the slack that the keeper leaves.
   */
  private static final double ALONE_PART = 0.3;

  /** Time without use after which what was saved up alone is forgotten, in milliseconds. */
  private static final long ALONE_FORGOTTEN_MILLIS = 2_000;

  /** Time for which a keeper that did not answer is not asked again, in milliseconds. */
  private static final long SUSPECT_MILLIS = 1_000;

  /** Shortest wait told to a refused caller, so that it is not told to come back at once. */
  private static final double MIN_RETRY_SECONDS = 0.05;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final MonotonicClock clock;
  private final LimitSlack slack;
  private final Map<String, Bucket> kept = new HashMap<>();
  private final Map<String, Bucket> alone = new HashMap<>();
  private final Map<String, String> keepers = new HashMap<>();
  private final Map<String, Long> suspectUntilMillis = new HashMap<>();
  private final Set<String> deadKeepers = new HashSet<>();
  private List<String> daemons = List.of();

  private KeptLimits(String self, MonotonicClock clock, LimitSlack slack) {
    this.self = self;
    this.clock = clock;
    this.slack = slack;
  }

  /**
   * Creates the limits of a daemon that knows no others and keeps none.
   *
   * @param self the daemon's name
   */
  public static KeptLimits create(String self, MonotonicClock clock, LimitSlack slack) {
    return new KeptLimits(self, clock, slack);
  }

  // ---------------------------------------------------------------------------------------------
  // Who keeps what
  // ---------------------------------------------------------------------------------------------

  /**
   * Takes in which daemons may keep limits.
   *
   * @param names daemons that take callers, this one included if it does, and those that fell
   *     silent so lately that they may still admit requests: a keeper that is cut off goes on for a
   *     while
   * @param accounts all accounts, so that a new keeper counts from now on
   */
  public void daemons(Collection<String> names, Collection<AccountConfig> accounts) {
    daemons = List.copyOf(names);
    keepers.clear();
    suspectUntilMillis.keySet().retainAll(names);
    deadKeepers.retainAll(names);
    for (AccountConfig account : accounts) {
      if (account.ratePerSecond() > 0 && self.equals(keeper(account.name()))) {
        bucket(kept, account, account.ratePerSecond());
      }
    }
    kept.keySet().removeIf(account -> !self.equals(keeper(account)));
  }

  /** Returns the daemon that keeps an account's limit, null while no daemon is known. */
  public String keeper(String account) {
    return keepers.computeIfAbsent(account, this::highest);
  }

  private String highest(String account) {
    long key = Rendezvous.seed(account);
    String found = null;
    long best = -1;
    for (String daemon : daemons) {
      long score = Rendezvous.score(Rendezvous.seed(daemon), key);
      if (score > best) {
        best = score;
        found = daemon;
      }
    }
    return found;
  }

  /** Returns the daemon to ask about a request; empty where this daemon has to decide alone. */
  public Optional<String> ask(String account) {
    String keeper = keeper(account);
    if (keeper == null || keeper.equals(self)) {
      return Optional.empty();
    }
    boolean suspect = clock.millis() < suspectUntilMillis.getOrDefault(keeper, Long.MIN_VALUE);
    return suspect ? Optional.empty() : Optional.of(keeper);
  }

  /**
   * Notes that a keeper did not answer, or that it does not count itself as the keeper.
   *
   * @param dead whether it surely admits nothing
   */
  public void unanswered(String keeper, boolean dead) {
    suspectUntilMillis.put(keeper, clock.millis() + SUSPECT_MILLIS);
    if (dead) {
      deadKeepers.add(keeper);
    } else {
      deadKeepers.remove(keeper);
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Decisions
  // ---------------------------------------------------------------------------------------------

  /** Tells whether this daemon keeps an account's limit. */
  public boolean keeps(String account) {
    return self.equals(keeper(account));
  }

  /**
   * Decides as the keeper, or alone where the keeper cannot be asked.
   *
   * @param amount requests or tokens, as the account counts
   * @return empty if admitted, else seconds until the account has room again
   */
  public OptionalDouble admit(AccountConfig account, double amount) {
    if (account.ratePerSecond() <= 0) {
      return OptionalDouble.empty();
    }
    boolean keeps = keeps(account.name());
    Bucket bucket = keeps ? bucket(kept, account, account.ratePerSecond()) : alone(account);
    return bucket.admit(amount);
  }

  private Bucket alone(AccountConfig account) {
    double share =
        daemons.isEmpty()
            ? account.ratePerSecond() / UNKNOWN_DAEMONS
            : alonePart(account) * account.ratePerSecond() / daemons.size();
    Bucket used = alone.get(account.name());
    if (used != null && clock.millis() - used.usedMillis > ALONE_FORGOTTEN_MILLIS) {
      alone.remove(account.name());
    }
    return bucket(alone, account, share);
  }

  /** While a keeper admits nothing, all daemons together may admit the whole limit. */
  private double alonePart(AccountConfig account) {
    return deadKeepers.contains(keeper(account.name())) ? 1 : ALONE_PART;
  }

  private Bucket bucket(Map<String, Bucket> buckets, AccountConfig account, double rate) {
    Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(account, rate));
    bucket.apply(account, rate);
    return bucket;
  }

  /** What one account may still send. */
  private final class Bucket {
    private AccountConfig rule;
    private double rate;
    private AccountLimiter limiter;
    private long usedMillis;

    private Bucket(AccountConfig account, double rate) {
      start(account, rate);
    }

    private void start(AccountConfig account, double next) {
      rule = account;
      rate = next;
      double whole = account.ratePerSecond();
      double burst = slack.burst(whole, account.burst());
      limiter = AccountLimiter.empty(burst / whole, amounts(next), clock.nanos());
      usedMillis = clock.millis();
    }

    private void apply(AccountConfig account, double next) {
      if (rule.ratePerSecond() != account.ratePerSecond() || rule.burst() != account.burst()) {
        start(account, next);
      } else if (rate != next) {
        rate = next;
        limiter.share(amounts(next), clock.nanos());
      }
    }

    private OptionalDouble admit(double amount) {
      usedMillis = clock.millis();
      LimitDecision decision = limiter.admit((long) amount, clock.nanos());
      if (decision.admitted()) {
        limiter.release(0, clock.nanos());
        return OptionalDouble.empty();
      }
      double seconds = decision.retryAfter().toMillis() / MILLIS_PER_SECOND;
      return OptionalDouble.of(Math.max(MIN_RETRY_SECONDS, seconds));
    }

    private static Amounts amounts(double tokens) {
      return new Amounts(UNLIMITED, tokens, UNLIMITED);
    }
  }
}
