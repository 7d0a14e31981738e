package org.heatherspread.core.limit;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Enforces rate limits over all daemons, where each limit is owned by one daemon that decides for
 * all others.
 *
 * <p>What a limit allows may be few or large requests that reach many daemons. If it were split
 * evenly, each daemon's share would be smaller than one request, and most requests would be refused
 * although they are far below the limit. The owner of a limit is selected by rendezvous hashing
 * over the daemons that serve callers, so that they agree on it without communication.
 *
 * <p>A daemon that cannot reach the owner admits requests within its part of the overshoot
 * allowance, and reports their amounts to the owner later, which charges them to the limit. While
 * the owner has enough left, small requests are admitted in the same way without waiting for it.
 *
 * <p>Daemons learn of a change of owner at different times. An owner therefore holds a lease on
 * each of its limits, which ends a fixed time after it last read that it is the owner, and a new
 * owner decides only once the previous one has released the limit or its lease has certainly ended.
 * Until then the previous owner decides, and other daemons refer requests to it.
 *
 * <p>Invariants: what a daemon admits within a window without the owner, and has not reported,
 * never exceeds its part of the reserve, however often and for however long calls to the owner
 * fail; the bucket of a new owner starts empty, so that a change of owner grants no burst twice.
 * Confined to one thread.
 */
public final class PartitionedLimiter {
  /** Time for which an owner is not asked again after it declined or was found to be stopped. */
  private static final long SHORT_BACKOFF_MILLIS = 100;

  /** Range of the time for which an owner is not asked again after it failed to answer. */
  private static final long MIN_BACKOFF_MILLIS = 500;

  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /** Time after which a daemon is asked again to release a limit. */
  private static final long TAKEOVER_RETRY_MILLIS = 200;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final MonotonicClock clock;
  private final OvershootAllowance allowance;
  private final Supplier<SpendingOrder> orders;
  private final Map<String, LimitBucket> ownedBuckets = new HashMap<>();
  private final Map<String, LimitBucket> stoppedOwnerBuckets = new HashMap<>();
  private final LocalReserve reserve;
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
  private Set<String> admittingDaemons = Set.of();

  /** Earlier views whose owners may still hold leases, the newest first. */
  private final Deque<FormerView> formerViews = new ArrayDeque<>();

  private long viewLeaseEndMillis = Long.MIN_VALUE;

  private PartitionedLimiter(
      String self,
      MonotonicClock clock,
      OvershootAllowance allowance,
      Supplier<SpendingOrder> orders) {
    this.self = self;
    this.clock = clock;
    this.allowance = allowance;
    this.orders = orders;
    this.reserve = LocalReserve.create(self, clock, allowance, orders);
  }

  /** Creates a limiter that admits requests in order of arrival. */
  public static PartitionedLimiter create(
      String self, MonotonicClock clock, OvershootAllowance allowance) {
    return create(self, clock, allowance, SpendingOrder::byArrival);
  }

  /**
   * Creates a limiter that knows no daemons and owns no limits.
   *
   * @param self name of this daemon
   * @param orders creates the order in which requests get the tokens of a limit
   */
  public static PartitionedLimiter create(
      String self,
      MonotonicClock clock,
      OvershootAllowance allowance,
      Supplier<SpendingOrder> orders) {
    return new PartitionedLimiter(self, clock, allowance, orders);
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
   * @param limits all limits; the buckets of newly owned ones start to fill now
   */
  public void updateDaemons(
      Collection<String> daemonNames,
      Collection<String> admitting,
      long leaseMillis,
      Collection<? extends RateLimit> limits) {
    Map<String, String> previousOwners = new HashMap<>();
    for (RateLimit limit : limits) {
      previousOwners.put(limit.name(), selectedOwner(limit.name()));
    }
    recordFormerView();
    daemons = List.copyOf(daemonNames);
    admittingDaemons = Set.copyOf(admitting);
    reserve.updateDaemons(admittingDaemons);
    viewLeaseEndMillis = clock.millis() + leaseMillis;
    owners.clear();
    redirects.clear();
    failures.keySet().retainAll(admitting);
    leaseEndMillis.keySet().retainAll(previousOwners.keySet());
    takeovers.keySet().retainAll(previousOwners.keySet());
    released.keySet().retainAll(previousOwners.keySet());
    for (RateLimit limit : limits) {
      if (limit.ratePerSecond() > 0) {
        updateOwnership(limit, previousOwners.get(limit.name()), admitting);
      }
    }
    ownedBuckets.keySet().removeIf(name -> !isOwner(name));
    stoppedOwnerBuckets.keySet().retainAll(previousOwners.keySet());
    reserve.retainLimits(previousOwners.keySet());
  }

  private void recordFormerView() {
    long now = clock.millis();
    formerViews.removeIf(view -> now >= view.leaseEndMillis);
    if (!daemons.isEmpty() && now < viewLeaseEndMillis) {
      formerViews.addFirst(new FormerView(daemons, viewLeaseEndMillis));
    }
  }

  /**
   * Adds a limit that became known after the last view of the daemons, so that this daemon decides
   * on it without waiting for the next view if it is the owner.
   */
  public void track(RateLimit limit) {
    String name = limit.name();
    boolean known = isOwner(name) || takeovers.containsKey(name) || released.containsKey(name);
    boolean selected = clock.millis() < viewLeaseEndMillis && self.equals(selectedOwner(name));
    if (known || !selected || limit.ratePerSecond() <= 0) {
      return;
    }
    String holder = lastOtherOwner(name);
    if (holder == null || !admittingDaemons.contains(holder)) {
      startLease(limit);
    } else {
      takeovers.put(name, new Takeover(holder, viewLeaseEndMillis));
    }
  }

  /**
   * Returns the last other daemon that may hold a lease on a limit which this daemon owns, null if
   * there is none.
   */
  private String lastOtherOwner(String limit) {
    for (FormerView view : formerViews) {
      String owner = selectOwner(limit, null, view.daemons);
      if (!self.equals(owner)) {
        return owner;
      }
    }
    // Without an earlier view this daemon may have restarted, and another one replaced it.
    return formerViews.isEmpty() ? selectOwner(limit, self, daemons) : null;
  }

  private void updateOwnership(
      RateLimit limit, String previousOwner, Collection<String> admitting) {
    String name = limit.name();
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
      startLease(limit);
    }
  }

  /**
   * Returns the daemon that may hold a limit instead of this one. If a lease of this daemon has
   * ended, that is the one that replaced it.
   */
  private String selectPossibleHolder(String limit, String previousOwner) {
    String newOwner = released.get(limit);
    if (newOwner != null) {
      return newOwner;
    }
    boolean hasPrevious = previousOwner != null && !previousOwner.equals(self);
    return hasPrevious ? previousOwner : selectOwner(limit, self, daemons);
  }

  private void startLease(RateLimit limit) {
    takeovers.remove(limit.name());
    released.remove(limit.name());
    leaseEndMillis.put(limit.name(), viewLeaseEndMillis);
    bucket(ownedBuckets, limit, limit.ratePerSecond());
  }

  /**
   * Returns the daemon that decides on a limit by the view of this daemon; null while no daemon is
   * known.
   */
  public String owner(String limit) {
    if (isOwner(limit)) {
      return self;
    }
    Takeover takeover = takeovers.get(limit);
    if (takeover != null) {
      return takeover.holder;
    }
    String newOwner = released.getOrDefault(limit, redirects.get(limit));
    return newOwner == null ? selectedOwner(limit) : newOwner;
  }

  private String selectedOwner(String limit) {
    return owners.computeIfAbsent(limit, name -> selectOwner(name, null, daemons));
  }

  private static String selectOwner(String limit, String excluded, List<String> candidates) {
    for (String daemon : RendezvousHash.select(candidates, limit, 2)) {
      if (!daemon.equals(excluded)) {
        return daemon;
      }
    }
    return null;
  }

  /**
   * Starts to take over a newly owned limit.
   *
   * @return the daemon to ask to release the limit; empty if there is none, or if it was asked a
   *     moment ago
   */
  public Optional<String> startTakeover(String limit) {
    Takeover takeover = takeovers.get(limit);
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
  public void endTakeover(RateLimit limit, String holder) {
    Takeover takeover = takeovers.get(limit.name());
    if (takeover != null && takeover.holder.equals(holder)) {
      startLease(limit);
    }
  }

  /** Continues the takeover of a limit with another daemon, which holds it. */
  public void redirectTakeover(String limit, String holder) {
    Takeover takeover = takeovers.get(limit);
    if (takeover != null) {
      takeovers.put(limit, new Takeover(holder, takeover.holderLeaseEndMillis));
    }
  }

  /**
   * Releases a limit to its new owner.
   *
   * @return the daemon that holds the limit instead of this one; empty if this daemon has released
   *     it or knows of no other holder
   */
  public Optional<String> release(String limit, String newOwner) {
    if (isOwner(limit)) {
      leaseEndMillis.remove(limit);
      ownedBuckets.remove(limit);
      released.put(limit, newOwner);
      return Optional.empty();
    }
    return Optional.ofNullable(owner(limit))
        .filter(holder -> !holder.equals(newOwner) && !holder.equals(self));
  }

  /** Returns the owner to ask about a request; empty if this daemon has to decide. */
  public Optional<String> remoteOwner(String limit) {
    return otherOwner(limit).filter(owner -> !isBackingOff(owner));
  }

  /**
   * Returns the owner of a limit if it failed to answer a moment ago for the first time in a row,
   * as a busy daemon does; empty if there is no such owner, or if it has stopped or failed since.
   */
  public Optional<String> slowOwner(String limit) {
    return otherOwner(limit).filter(this::isBackingOff).filter(this::failedOnce);
  }

  private Optional<String> otherOwner(String limit) {
    return Optional.ofNullable(owner(limit)).filter(owner -> !owner.equals(self));
  }

  private boolean failedOnce(String owner) {
    OwnerFailure failure = failures.get(owner);
    return !failure.stopped && failure.backoffMillis == MIN_BACKOFF_MILLIS;
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
  public boolean ownerDeclined(String limit, String owner, String other) {
    boolean redirected = owner.equals(released.getOrDefault(limit, redirects.get(limit)));
    redirects.remove(limit);
    if (!redirected && other != null && !other.equals(self) && !other.equals(owner)) {
      redirects.put(limit, other);
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

  /** Returns the names of the limits on which this daemon decides. */
  public Set<String> ownedLimits() {
    Set<String> owned = new HashSet<>(leaseEndMillis.keySet());
    owned.removeIf(name -> !isOwner(name));
    return owned;
  }

  /** Returns whether this daemon decides on a limit for all daemons. */
  public boolean isOwner(String limit) {
    return clock.millis() < leaseEndMillis.getOrDefault(limit, Long.MIN_VALUE);
  }

  /**
   * Decides on a request as the limit owner, or without it if the owner is another daemon.
   *
   * @param request the request; the limit has the unit of its amount
   */
  public SpendingDecision admit(RateLimit limit, LimitRequest request) {
    if (limit.ratePerSecond() <= 0) {
      return SpendingDecision.ADMITTED;
    }
    if (isOwner(limit.name())) {
      return bucket(ownedBuckets, limit, limit.ratePerSecond()).admit(request);
    }
    OwnerFailure failure = failures.get(owner(limit.name()));
    if (failure != null && failure.stopped && limit.mayOverdraw()) {
      // Nobody else admits, so all daemons together may admit the whole limit.
      double share = limit.ratePerSecond() / Math.max(1, admittingDaemons.size());
      return bucket(stoppedOwnerBuckets, limit, share).admit(request);
    }
    stoppedOwnerBuckets.remove(limit.name());
    long untilAskedMillis = failure == null ? 0 : failure.askAgainMillis - clock.millis();
    return reserve.admit(limit, request, untilAskedMillis / MILLIS_PER_SECOND);
  }

  /** Returns the part of each owned limit that was used recently, by the name of the limit. */
  public Map<String, Double> usedRatios() {
    Map<String, Double> ratios = new HashMap<>();
    ownedBuckets.forEach((name, bucket) -> ratios.put(name, bucket.usedRatio()));
    ratios.keySet().removeIf(name -> !isOwner(name));
    return ratios;
  }

  /**
   * Admits a request before its owner learns of it, by a report, so that the request need not wait.
   *
   * @return false if the owner has to decide, or this daemon as its owner
   */
  public boolean admitInAdvance(RateLimit limit, LimitRequest request) {
    return remoteOwner(limit.name()).isPresent() && reserve.admitInAdvance(limit, request);
  }

  /** Returns whether the owner should learn at once of what was admitted in advance. */
  public boolean needsPromptReport(RateLimit limit) {
    return reserve.needsPromptReport(limit);
  }

  /** Records whether the owner of a limit said that enough is left to admit in advance. */
  public void recordSupply(String limit, boolean ample) {
    reserve.recordSupply(limit, ample);
  }

  /** Returns whether enough is left of an owned limit for daemons to admit in advance. */
  public boolean isAmple(RateLimit limit) {
    return isOwner(limit.name()) && bucket(ownedBuckets, limit, limit.ratePerSecond()).isAmple();
  }

  /**
   * Starts a report of what was admitted without the owner, to be sent with the next request to it.
   *
   * @return the amount to report, 0 if there is none or a report is in progress
   */
  public double startReport(String limit) {
    return reserve.startReport(limit);
  }

  /**
   * Ends a report that was started with a positive amount; others are ignored.
   *
   * @param charged whether the owner has charged the amount
   */
  public void endReport(String limit, boolean charged) {
    reserve.endReport(limit, charged);
  }

  /** Charges an amount to an owned limit that another daemon has already admitted. */
  public void chargeReported(RateLimit limit, double amount) {
    if (amount > 0 && limit.ratePerSecond() > 0 && isOwner(limit.name())) {
      bucket(ownedBuckets, limit, limit.ratePerSecond()).charge(amount);
    }
  }

  private LimitBucket bucket(Map<String, LimitBucket> buckets, RateLimit limit, double rate) {
    LimitBucket bucket =
        buckets.computeIfAbsent(
            limit.name(), name -> new LimitBucket(clock, allowance, orders.get(), limit, rate));
    bucket.apply(limit, rate);
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

  /**
   * Daemons of an earlier view.
   *
   * @param leaseEndMillis end of the leases that began with the view
   */
  private record FormerView(List<String> daemons, long leaseEndMillis) {}

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
}
