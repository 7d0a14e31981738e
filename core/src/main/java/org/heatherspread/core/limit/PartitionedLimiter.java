package org.heatherspread.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Rate-limits client accounts, where each account's limit is owned by one daemon that decides for
 * all others.
 *
 * <p>An account may send few large requests that reach many daemons. If its limit were split
 * evenly, each daemon's share would be smaller than one request, and most requests would be refused
 * although the account is far below its limit. The owner of a limit is selected by rendezvous
 * hashing over the daemons that serve callers, so that they agree on it without communication. A
 * daemon that cannot reach the owner admits requests by a small share of the limit.
 *
 * <p>Invariants: the bucket of a new owner starts empty, and so does a fallback bucket that was not
 * used for a while; a change of owner or an unreachable owner therefore grants no account its burst
 * twice. Confined to one thread.
 */
public final class PartitionedLimiter {
  /** Amount per second that stands for no limit. */
  private static final double UNLIMITED = 1e12;

  /** Daemons assumed to share a limit before any are known; more than small fleets have. */
  private static final int ASSUMED_DAEMONS = 12;

  /**
   * Fraction of an even share that a daemon admits while it cannot reach the owner. The owner keeps
   * admitting for the other daemons in the meantime. What half of all daemons admit in this way,
   * for as long as each accepts API keys without the store, must fit in the part of the overshoot
   * allowance that the owner does not use.
   */
  private static final double FALLBACK_FRACTION = 0.3;

  /** Time without use after which a fallback bucket is discarded with its contents. */
  private static final long FALLBACK_IDLE_MILLIS = 2_000;

  /** Time for which an owner is not asked again after it failed to answer. */
  private static final long OWNER_BACKOFF_MILLIS = 1_000;

  /** Lower bound on the wait of a refused request, so that callers never retry immediately. */
  private static final double MIN_RETRY_SECONDS = 0.05;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final MonotonicClock clock;
  private final OvershootAllowance allowance;
  private final Map<String, Bucket> ownedBuckets = new HashMap<>();
  private final Map<String, Bucket> fallbackBuckets = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private final Map<String, Long> backoffUntilMillis = new HashMap<>();
  private final Set<String> stoppedOwners = new HashSet<>();
  private List<String> daemons = List.of();

  private PartitionedLimiter(String self, MonotonicClock clock, OvershootAllowance allowance) {
    this.self = self;
    this.clock = clock;
    this.allowance = allowance;
  }

  /**
   * Creates a limiter that knows no daemons and owns no limits.
   *
   * @param self name of this daemon
   */
  public static PartitionedLimiter create(
      String self, MonotonicClock clock, OvershootAllowance allowance) {
    return new PartitionedLimiter(self, clock, allowance);
  }

  /**
   * Replaces the set of daemons that may own limits.
   *
   * @param daemonNames daemons that serve callers, this one included if it does, and those that
   *     stopped reporting so recently that they may still admit requests, as a partitioned owner
   *     continues to do for a while
   * @param accounts all accounts; the buckets of newly owned limits start to fill now
   */
  public void updateDaemons(Collection<String> daemonNames, Collection<AccountConfig> accounts) {
    daemons = List.copyOf(daemonNames);
    owners.clear();
    backoffUntilMillis.keySet().retainAll(daemonNames);
    stoppedOwners.retainAll(daemonNames);
    for (AccountConfig account : accounts) {
      if (account.ratePerSecond() > 0 && self.equals(owner(account.name()))) {
        bucket(ownedBuckets, account, account.ratePerSecond());
      }
    }
    ownedBuckets.keySet().removeIf(account -> !self.equals(owner(account)));
  }

  /** Returns the daemon that owns an account's limit; null while no daemon is known. */
  public String owner(String account) {
    return owners.computeIfAbsent(account, this::selectOwner);
  }

  private String selectOwner(String account) {
    long key = RendezvousHash.seed(account);
    String selected = null;
    long best = -1;
    for (String daemon : daemons) {
      long score = RendezvousHash.score(RendezvousHash.seed(daemon), key);
      if (score > best) {
        best = score;
        selected = daemon;
      }
    }
    return selected;
  }

  /** Returns the owner to ask about a request; empty if this daemon has to decide. */
  public Optional<String> remoteOwner(String account) {
    String owner = owner(account);
    if (owner == null || owner.equals(self)) {
      return Optional.empty();
    }
    boolean backingOff = clock.millis() < backoffUntilMillis.getOrDefault(owner, Long.MIN_VALUE);
    return backingOff ? Optional.empty() : Optional.of(owner);
  }

  /**
   * Records that an owner did not answer, or answered that it is not the owner.
   *
   * @param stopped whether its process has certainly stopped, so that it admits nothing
   */
  public void ownerFailed(String owner, boolean stopped) {
    backoffUntilMillis.put(owner, clock.millis() + OWNER_BACKOFF_MILLIS);
    if (stopped) {
      stoppedOwners.add(owner);
    } else {
      stoppedOwners.remove(owner);
    }
  }

  /** Returns the names of the accounts whose limits this daemon owns. */
  public Set<String> ownedAccounts() {
    return Set.copyOf(ownedBuckets.keySet());
  }

  /** Returns whether this daemon owns an account's limit. */
  public boolean isOwner(String account) {
    return self.equals(owner(account));
  }

  /**
   * Decides on a request as the limit owner, or by the fallback share if the owner is another
   * daemon.
   *
   * @param amount requests or tokens, in the unit of the account's limit
   * @return empty if admitted, else seconds until the account is below its limit again
   */
  public OptionalDouble admit(AccountConfig account, double amount) {
    if (account.ratePerSecond() <= 0) {
      return OptionalDouble.empty();
    }
    boolean owned = isOwner(account.name());
    Bucket bucket =
        owned ? bucket(ownedBuckets, account, account.ratePerSecond()) : fallbackBucket(account);
    return bucket.admit(amount);
  }

  private Bucket fallbackBucket(AccountConfig account) {
    double share =
        daemons.isEmpty()
            ? account.ratePerSecond() / ASSUMED_DAEMONS
            : fallbackFraction(account) * account.ratePerSecond() / daemons.size();
    Bucket existing = fallbackBuckets.get(account.name());
    if (existing != null && clock.millis() - existing.lastUsedMillis > FALLBACK_IDLE_MILLIS) {
      fallbackBuckets.remove(account.name());
    }
    return bucket(fallbackBuckets, account, share);
  }

  /** While the owner is stopped, all daemons together may admit the whole limit. */
  private double fallbackFraction(AccountConfig account) {
    return stoppedOwners.contains(owner(account.name())) ? 1 : FALLBACK_FRACTION;
  }

  private Bucket bucket(Map<String, Bucket> buckets, AccountConfig account, double rate) {
    Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(account, rate));
    bucket.apply(account, rate);
    return bucket;
  }

  /** Token bucket of one account. */
  private final class Bucket {
    private AccountConfig rule;
    private double rate;
    private AccountLimiter limiter;
    private long lastUsedMillis;

    private Bucket(AccountConfig account, double rate) {
      reset(account, rate);
    }

    private void reset(AccountConfig account, double newRate) {
      rule = account;
      rate = newRate;
      double limitRate = account.ratePerSecond();
      double burst = allowance.effectiveBurst(limitRate, account.burst());
      limiter = AccountLimiter.createEmpty(burst / limitRate, amounts(newRate), clock.nanos());
      lastUsedMillis = clock.millis();
    }

    private void apply(AccountConfig account, double newRate) {
      if (rule.ratePerSecond() != account.ratePerSecond() || rule.burst() != account.burst()) {
        reset(account, newRate);
      } else if (rate != newRate) {
        rate = newRate;
        limiter.updateShare(amounts(newRate), clock.nanos());
      }
    }

    private OptionalDouble admit(double amount) {
      lastUsedMillis = clock.millis();
      LimitDecision decision = limiter.admit((long) amount, clock.nanos());
      if (decision.admitted()) {
        limiter.release(0, clock.nanos());
        return OptionalDouble.empty();
      }
      double seconds = decision.retryAfter().toMillis() / MILLIS_PER_SECOND;
      return OptionalDouble.of(Math.max(MIN_RETRY_SECONDS, seconds));
    }

    private static ResourceAmounts amounts(double tokens) {
      return new ResourceAmounts(UNLIMITED, tokens, UNLIMITED);
    }
  }
}
