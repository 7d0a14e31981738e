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
 * hashing over the daemons that serve callers, so that they agree on it without communication.
 *
 * <p>A daemon that cannot reach the owner admits requests within its part of the overshoot
 * allowance, and reports their amounts to the owner later, which charges them to the limit.
 *
 * <p>Daemons learn of a change of owner at different times. An owner therefore holds a lease on
 * each of its limits, which ends a fixed time after it last read that it is the owner, and a new
 * owner decides only once the previous one has released the limit or its lease has certainly ended.
 * Until then the previous owner decides, and other daemons refer requests to it.
 *
 * <p>Invariants: what a daemon admits within a window without the owner, and has not reported,
 * never exceeds its part of the reserve, however often and for however long calls to the owner
 * fail; the bucket of a new owner starts empty, so that a change of owner grants no account its
 * burst twice. Confined to one thread.
 */
public final class PartitionedLimiter {
  /** Amount per second that stands for no limit. */
  private static final double UNLIMITED = 1e12;

  /** Daemons assumed to share a limit before any are known; more than small fleets have. */
  private static final int ASSUMED_DAEMONS = 12;

  /** Time for which an owner is not asked again after it declined or was found to be stopped. */
  private static final long SHORT_BACKOFF_MILLIS = 100;

  /** Range of the time for which an owner is not asked again after it failed to answer. */
  private static final long MIN_BACKOFF_MILLIS = 500;

  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /** Time after which a daemon is asked again to release a limit. */
  private static final long TAKEOVER_RETRY_MILLIS = 200;

  /** Lower bound on the wait of a refused request, so that callers never retry immediately. */
  private static final double MIN_RETRY_SECONDS = 0.05;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final MonotonicClock clock;
  private final OvershootAllowance allowance;
  private final Map<String, Bucket> ownedBuckets = new HashMap<>();
  private final Map<String, Bucket> stoppedOwnerBuckets = new HashMap<>();
  private final Map<String, UnreportedAmounts> unreportedAmounts = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private final Map<String, OwnerFailure> failures = new HashMap<>();
  private final Map<String, Long> leaseEndMillis = new HashMap<>();

  /** Newly owned limits whose previous owner may still decide. */
  private final Map<String, Takeover> takeovers = new HashMap<>();

  /** New owners of limits that this daemon released and owns by its own, older view. */
  private final Map<String, String> released = new HashMap<>();

  /** Owners that other daemons named, until the next view. */
  private final Map<String, String> redirects = new HashMap<>();

  private List<String> daemons = List.of();
  private int admittingDaemons = ASSUMED_DAEMONS;
  private long viewLeaseEndMillis = Long.MIN_VALUE;

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

  /** Returns the name of this daemon. */
  public String self() {
    return self;
  }

  /**
   * Replaces the set of daemons that may own limits.
   *
   * @param daemonNames daemons that serve callers, this one included if it does, and those that
   *     stopped reporting so recently that they may still admit requests, as a partitioned owner
   *     continues to do for a while
   * @param admitting all daemons that may admit requests, empty if unknown
   * @param leaseMillis time from this view for which its owners decide
   * @param accounts all accounts; the buckets of newly owned limits start to fill now
   */
  public void updateDaemons(
      Collection<String> daemonNames,
      Collection<String> admitting,
      long leaseMillis,
      Collection<AccountConfig> accounts) {
    Map<String, String> previousOwners = new HashMap<>();
    for (AccountConfig account : accounts) {
      previousOwners.put(account.name(), selectedOwner(account.name()));
    }
    daemons = List.copyOf(daemonNames);
    admittingDaemons = admitting.isEmpty() ? ASSUMED_DAEMONS : admitting.size();
    viewLeaseEndMillis = clock.millis() + leaseMillis;
    owners.clear();
    redirects.clear();
    failures.keySet().retainAll(admitting);
    leaseEndMillis.keySet().retainAll(previousOwners.keySet());
    takeovers.keySet().retainAll(previousOwners.keySet());
    released.keySet().retainAll(previousOwners.keySet());
    for (AccountConfig account : accounts) {
      if (account.ratePerSecond() > 0) {
        updateOwnership(account, previousOwners.get(account.name()), admitting);
      }
    }
    ownedBuckets.keySet().removeIf(account -> !isOwner(account));
  }

  private void updateOwnership(
      AccountConfig account, String previousOwner, Collection<String> admitting) {
    String name = account.name();
    if (!self.equals(selectedOwner(name))) {
      takeovers.remove(name);
      released.remove(name);
      return;
    }
    if (!isOwner(name) && !takeovers.containsKey(name)) {
      ownedBuckets.remove(name);
      String holder = selectPossibleHolder(name, previousOwner);
      if (holder != null) {
        takeovers.put(name, new Takeover(holder, viewLeaseEndMillis));
      }
    }
    Takeover takeover = takeovers.get(name);
    if (takeover == null
        || !admitting.contains(takeover.holder)
        || clock.millis() >= takeover.holderLeaseEndMillis) {
      startLease(account);
    }
  }

  /**
   * Returns the daemon that may hold a limit instead of this one. If a lease of this daemon has
   * ended, that is the one that replaced it.
   */
  private String selectPossibleHolder(String account, String previousOwner) {
    String newOwner = released.get(account);
    if (newOwner != null) {
      return newOwner;
    }
    boolean hasPrevious = previousOwner != null && !previousOwner.equals(self);
    return hasPrevious ? previousOwner : selectOwner(account, self);
  }

  private void startLease(AccountConfig account) {
    takeovers.remove(account.name());
    released.remove(account.name());
    leaseEndMillis.put(account.name(), viewLeaseEndMillis);
    bucket(ownedBuckets, account, account.ratePerSecond());
  }

  /**
   * Returns the daemon that decides on an account's limit by the view of this daemon; null while no
   * daemon is known.
   */
  public String owner(String account) {
    if (isOwner(account)) {
      return self;
    }
    Takeover takeover = takeovers.get(account);
    if (takeover != null) {
      return takeover.holder;
    }
    String newOwner = released.getOrDefault(account, redirects.get(account));
    return newOwner == null ? selectedOwner(account) : newOwner;
  }

  private String selectedOwner(String account) {
    return owners.computeIfAbsent(account, name -> selectOwner(name, null));
  }

  private String selectOwner(String account, String excluded) {
    long key = RendezvousHash.seed(account);
    String selected = null;
    long best = -1;
    for (String daemon : daemons) {
      long score = RendezvousHash.score(RendezvousHash.seed(daemon), key);
      if (score > best && !daemon.equals(excluded)) {
        best = score;
        selected = daemon;
      }
    }
    return selected;
  }

  /**
   * Starts to take over a newly owned limit.
   *
   * @return the daemon to ask to release the limit; empty if there is none, or if it was asked a
   *     moment ago
   */
  public Optional<String> startTakeover(String account) {
    Takeover takeover = takeovers.get(account);
    long now = clock.millis();
    if (takeover == null || now < takeover.askAgainMillis) {
      return Optional.empty();
    }
    takeover.askAgainMillis = now + TAKEOVER_RETRY_MILLIS;
    return Optional.of(takeover.holder);
  }

  /**
   * Ends the takeover of a limit: this daemon decides on it from now on.
   *
   * @param holder the daemon that released it or has stopped
   */
  public void endTakeover(AccountConfig account, String holder) {
    Takeover takeover = takeovers.get(account.name());
    if (takeover != null && takeover.holder.equals(holder)) {
      startLease(account);
    }
  }

  /** Continues the takeover of a limit with another daemon, which holds it. */
  public void redirectTakeover(String account, String holder) {
    Takeover takeover = takeovers.get(account);
    if (takeover != null) {
      takeovers.put(account, new Takeover(holder, takeover.holderLeaseEndMillis));
    }
  }

  /**
   * Releases a limit to its new owner.
   *
   * @return the daemon that holds the limit instead of this one; empty if this daemon has released
   *     it or knows of no other holder
   */
  public Optional<String> release(String account, String newOwner) {
    if (isOwner(account)) {
      leaseEndMillis.remove(account);
      ownedBuckets.remove(account);
      released.put(account, newOwner);
      return Optional.empty();
    }
    return Optional.ofNullable(owner(account))
        .filter(holder -> !holder.equals(newOwner) && !holder.equals(self));
  }

  /** Returns the owner to ask about a request; empty if this daemon has to decide. */
  public Optional<String> remoteOwner(String account) {
    String owner = owner(account);
    if (owner == null || owner.equals(self)) {
      return Optional.empty();
    }
    return isBackingOff(owner) ? Optional.empty() : Optional.of(owner);
  }

  private boolean isBackingOff(String owner) {
    OwnerFailure failure = failures.get(owner);
    return failure != null && clock.millis() < failure.askAgainMillis;
  }

  /** Records that an owner decided on a request. */
  public void ownerAnswered(String owner) {
    failures.remove(owner);
  }

  /**
   * Records that a daemon answered that it does not own a limit.
   *
   * @param other the owner by the view of that daemon, null if it knows none
   * @return whether to ask the other daemon
   */
  public boolean ownerDeclined(String account, String owner, String other) {
    boolean redirected = owner.equals(released.getOrDefault(account, redirects.get(account)));
    redirects.remove(account);
    if (!redirected && other != null && !other.equals(self) && !other.equals(owner)) {
      redirects.put(account, other);
      return true;
    }
    long askAgainMillis = clock.millis() + SHORT_BACKOFF_MILLIS;
    failures.put(owner, new OwnerFailure(false, SHORT_BACKOFF_MILLIS, askAgainMillis));
    return false;
  }

  /**
   * Records that an owner did not answer.
   *
   * @param stopped whether its process has certainly stopped, so that it admits nothing
   */
  public void ownerFailed(String owner, boolean stopped) {
    long now = clock.millis();
    OwnerFailure previous = failures.get(owner);
    long backoffMillis;
    if (stopped) {
      backoffMillis = SHORT_BACKOFF_MILLIS;
    } else if (previous == null || previous.stopped) {
      backoffMillis = MIN_BACKOFF_MILLIS;
    } else if (now < previous.askAgainMillis) {
      // A call that was in progress when another one failed.
      return;
    } else {
      long doubled = Math.max(MIN_BACKOFF_MILLIS, 2 * previous.backoffMillis);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, doubled);
    }
    failures.put(owner, new OwnerFailure(stopped, backoffMillis, now + backoffMillis));
  }

  /** Returns the names of the accounts on whose limits this daemon decides. */
  public Set<String> ownedAccounts() {
    Set<String> owned = new HashSet<>(leaseEndMillis.keySet());
    owned.removeIf(account -> !isOwner(account));
    return owned;
  }

  /** Returns whether this daemon decides on an account's limit for all daemons. */
  public boolean isOwner(String account) {
    return clock.millis() < leaseEndMillis.getOrDefault(account, Long.MIN_VALUE);
  }

  /**
   * Decides on a request as the limit owner, or without it if the owner is another daemon.
   *
   * @param amount requests or tokens, in the unit of the account's limit
   * @return empty if admitted, else seconds after which to retry
   */
  public OptionalDouble admit(AccountConfig account, double amount) {
    if (account.ratePerSecond() <= 0) {
      return OptionalDouble.empty();
    }
    if (isOwner(account.name())) {
      return bucket(ownedBuckets, account, account.ratePerSecond()).admit(amount);
    }
    OwnerFailure failure = failures.get(owner(account.name()));
    if (failure != null && failure.stopped) {
      // Nobody else admits, so all daemons together may admit the whole limit.
      double share = account.ratePerSecond() / admittingDaemons;
      return bucket(stoppedOwnerBuckets, account, share).admit(amount);
    }
    stoppedOwnerBuckets.remove(account.name());
    return admitUnreported(account, amount, failure);
  }

  private OptionalDouble admitUnreported(
      AccountConfig account, double amount, OwnerFailure failure) {
    long now = clock.millis();
    UnreportedAmounts unreported =
        unreportedAmounts.computeIfAbsent(
            account.name(), name -> new UnreportedAmounts(allowance.windowMillis()));
    double reserve = allowance.fallbackReserve(account.ratePerSecond(), account.burst());
    if (unreported.total(now) + amount > reserve / admittingDaemons) {
      long untilAskedMillis = failure == null ? 0 : failure.askAgainMillis - now;
      return OptionalDouble.of(Math.max(MIN_RETRY_SECONDS, untilAskedMillis / MILLIS_PER_SECOND));
    }
    unreported.add(amount, now);
    return OptionalDouble.empty();
  }

  /**
   * Starts a report of what was admitted without the owner, to be sent with the next request to it.
   *
   * @return the amount to report, 0 if there is none or a report is in progress
   */
  public double startReport(String account) {
    UnreportedAmounts unreported = unreportedAmounts.get(account);
    return unreported == null ? 0 : unreported.startReport(clock.millis());
  }

  /**
   * Ends a report that was started with a positive amount; others are ignored.
   *
   * @param charged whether the owner has charged the amount
   */
  public void endReport(String account, boolean charged) {
    UnreportedAmounts unreported = unreportedAmounts.get(account);
    if (unreported != null) {
      unreported.endReport(charged);
    }
  }

  /** Charges an amount to an owned limit that another daemon has already admitted. */
  public void chargeReported(AccountConfig account, double amount) {
    if (amount > 0 && account.ratePerSecond() > 0 && isOwner(account.name())) {
      bucket(ownedBuckets, account, account.ratePerSecond()).charge(amount);
    }
  }

  private Bucket bucket(Map<String, Bucket> buckets, AccountConfig account, double rate) {
    Bucket bucket = buckets.computeIfAbsent(account.name(), name -> new Bucket(account, rate));
    bucket.apply(account, rate);
    return bucket;
  }

  /**
   * The last failure of an owner to decide.
   *
   * @param stopped whether its process had stopped
   * @param backoffMillis time for which it is not asked again
   * @param askAgainMillis end of that time, on the monotonic clock
   */
  private record OwnerFailure(boolean stopped, long backoffMillis, long askAgainMillis) {}

  /** The takeover of a limit from another daemon. */
  private static final class Takeover {
    private final String holder;

    /** Time at which a lease of the holder has certainly ended. */
    private final long holderLeaseEndMillis;

    private long askAgainMillis = Long.MIN_VALUE;

    private Takeover(String holder, long holderLeaseEndMillis) {
      this.holder = holder;
      this.holderLeaseEndMillis = holderLeaseEndMillis;
    }
  }

  /** Token bucket of one account. */
  private final class Bucket {
    private AccountConfig rule;
    private double rate;
    private AccountLimiter limiter;

    private Bucket(AccountConfig account, double rate) {
      reset(account, rate);
    }

    private void reset(AccountConfig account, double newRate) {
      rule = account;
      rate = newRate;
      double limitRate = account.ratePerSecond();
      double burst = allowance.effectiveBurst(limitRate, account.burst());
      limiter = AccountLimiter.createEmpty(burst / limitRate, amounts(newRate), clock.nanos());
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
      LimitDecision decision = limiter.admit((long) amount, clock.nanos());
      if (decision.admitted()) {
        limiter.release(0, clock.nanos());
        return OptionalDouble.empty();
      }
      double seconds = decision.retryAfter().toMillis() / MILLIS_PER_SECOND;
      return OptionalDouble.of(Math.max(MIN_RETRY_SECONDS, seconds));
    }

    private void charge(double amount) {
      limiter.charge((long) amount, clock.nanos());
    }

    private static ResourceAmounts amounts(double tokens) {
      return new ResourceAmounts(UNLIMITED, tokens, UNLIMITED);
    }
  }
}
