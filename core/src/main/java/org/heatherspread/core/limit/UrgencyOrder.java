package org.heatherspread.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Spends a limit by urgency. Each urgency has a share of the rate, derived from the demand measured
 * during the last second; shares accumulate as credit. A request is admitted if its urgency has
 * credit, or if there is more left than the credit of all. The credit of more urgent requests that
 * ask for no more than their share is a reserve, which others leave untouched.
 *
 * <p>If the demand exceeds the rate, each urgency first has a part of its proportional share, so
 * that none is starved, and the rest goes to the most urgent ones. Requests without an urgency are
 * admitted while anything is left: those of earlier daemons, and those that state no tokens, which
 * take little of a limit.
 *
 * <p>A refused request whose caller can return in time leaves a claim. Until it returns or the
 * claim expires, smaller requests of the same urgency and those of lower urgency are only admitted
 * if the tokens that the claim needs at its time accumulate nevertheless. A request that returns to
 * its claim isn't held back by other claims, so that two of them never block each other.
 *
 * <p>Invariants: the sum of all credit never exceeds what is left of the limit, so that credit
 * holds back no request once the others have spent theirs; without other demand or claims, a
 * request is admitted whenever anything is left. Confined to one thread. Holds at most ten
 * urgencies with a bounded number of claims each.
 */
final class UrgencyOrder implements SpendingOrder {
  private static final int MAX_URGENCY = 9;
  private static final int UNKNOWN_URGENCY = MAX_URGENCY + 1;

  /** Window of the demand: several requests of each urgency, and short against a surge of 6 s. */
  private static final double DEMAND_SECONDS = 1;

  /** Time over which the demand of the first request of an urgency is assumed to be spread. */
  private static final double MIN_DEMAND_SECONDS = 0.1;

  /** Time without requests after which an urgency is forgotten. */
  private static final double IDLE_SECONDS = 5;

  /**
   * Share of an urgency as a multiple of its demand, as far as the rate allows: requests arrive in
   * clusters, and a share that is no more than the average demand falls behind them.
   */
  private static final double HEADROOM = 1.25;

  /** Credit that an urgency can accumulate, as the time for which it gets its share. */
  private static final double CREDIT_SECONDS = 0.5;

  /** Bound on the credit of all urgencies, so that a full bucket never consists of credit only. */
  private static final double MAX_CREDIT_RATIO = 0.5;

  /**
   * Part of its proportional share that each urgency keeps. A type of request counts as starved
   * below a quarter of the average; large requests of others take some of it.
   */
  private static final double MIN_SHARE_RATIO = 0.4;

  /** Part of a share that claims may use, so that new requests still get the rest at once. */
  private static final double CLAIM_RATIO = 0.5;

  /** Time for which a claim is kept for a caller that returns late. */
  private static final double CLAIM_GRACE_SECONDS = 0.25;

  /** Time by which a caller may return early, as waits are rounded to milliseconds. */
  private static final double EARLY_SECONDS = 0.005;

  /** Time after which more than nothing is left, where waits are rounded to milliseconds. */
  private static final double CLAIM_MARGIN_SECONDS = 0.002;

  private static final int MAX_CLAIMS = 128;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<Integer, Kind> kinds = new TreeMap<>();
  private long lastNanos = Long.MIN_VALUE;

  @Override
  public SpendingDecision decide(LimitRequest request, Balance balance) {
    if (request.urgency().isEmpty()) {
      return byArrival(balance);
    }
    long now = balance.nowNanos();
    int key = Math.min(Math.max(0, request.urgency().getAsInt()), MAX_URGENCY);
    removeExpired(now);
    Kind kind = kinds.computeIfAbsent(key, each -> new Kind(each, now));
    kind.lastRequestNanos = now;
    Claim claim = kind.findClaim(request.amount(), now);
    if (claim == null) {
      kind.demand.add(request.amount(), now);
    }
    updateCredit(balance);
    Optional<Obstacle> obstacle = findObstacle(kind, claim, request, balance);
    kind.claims.remove(claim);
    if (obstacle.isEmpty()) {
      // Credit is spent first; a surplus covers the rest as far as it goes.
      double surplus = Math.max(0, surplus(balance));
      kind.credit -= kind.credit > 0 ? request.amount() : Math.max(0, request.amount() - surplus);
      return SpendingDecision.ADMITTED;
    }
    return refuse(kind, request, balance, obstacle.get());
  }

  private static SpendingDecision byArrival(Balance balance) {
    return balance.available() > 0
        ? SpendingDecision.ADMITTED
        : SpendingDecision.refused(
            SpendingDecision.Cause.EXHAUSTED, -balance.available() / balance.ratePerSecond());
  }

  /** Returns why a request is refused, empty if it is admitted. */
  private Optional<Obstacle> findObstacle(
      Kind kind, Claim claim, LimitRequest request, Balance balance) {
    if (balance.available() <= 0) {
      return Optional.of(new Obstacle(SpendingDecision.Cause.EXHAUSTED, UNKNOWN_URGENCY));
    }
    boolean reserved = balance.available() <= reserveBefore(kind);
    if (claim != null && !reserved) {
      return Optional.empty();
    }
    if (reserved || (kind.credit <= 0 && surplus(balance) <= 0)) {
      return Optional.of(new Obstacle(SpendingDecision.Cause.URGENCY, urgencyWithMostCredit()));
    }
    return findDelayedClaim(kind, request.amount(), balance)
        .map(delayed -> new Obstacle(SpendingDecision.Cause.CLAIM, delayed.urgency));
  }

  /**
   * Returns the reserve of more urgent kinds: the credit of those that do not ask for more than
   * their share. What others lack is repaid from their own shares.
   */
  private double reserveBefore(Kind kind) {
    double reserve = 0;
    for (Kind each : kinds.values()) {
      if (each.urgency < kind.urgency && !each.isCurtailed) {
        reserve += Math.max(0, each.credit);
      }
    }
    return reserve;
  }

  private int urgencyWithMostCredit() {
    Kind holder = null;
    for (Kind each : kinds.values()) {
      holder = holder == null || each.credit > holder.credit ? each : holder;
    }
    return holder == null ? UNKNOWN_URGENCY : holder.urgency;
  }

  /**
   * Returns a claim that would not be met in time if a request were admitted. Claims of a more
   * urgent kind that asks for more than its share give way to the credit of less urgent ones, which
   * would be starved otherwise.
   */
  private Optional<Claim> findDelayedClaim(Kind kind, double amount, Balance balance) {
    List<Claim> due = new ArrayList<>();
    for (Kind other : kinds.values()) {
      boolean moreUrgent = other.urgency < kind.urgency;
      if (other == kind || (moreUrgent && (kind.credit <= 0 || !other.isCurtailed))) {
        due.addAll(other.claims);
      }
    }
    due.sort(Comparator.comparingLong(claim -> claim.dueNanos));
    double left = balance.available() - amount;
    for (Claim claim : due) {
      double seconds = Math.max(0, claim.dueNanos - balance.nowNanos()) / NANOS_PER_SECOND;
      boolean precedes = claim.urgency < kind.urgency || claim.amount > amount;
      if (precedes && left + seconds * balance.ratePerSecond() <= 0) {
        return Optional.of(claim);
      }
      left -= claim.amount;
    }
    return Optional.empty();
  }

  private SpendingDecision refuse(
      Kind kind, LimitRequest request, Balance balance, Obstacle obstacle) {
    OptionalInt heldFor =
        obstacle.urgency == UNKNOWN_URGENCY
            ? OptionalInt.empty()
            : OptionalInt.of(obstacle.urgency);
    double seconds = claimSeconds(kind, balance);
    boolean inTime = request.maxWaitSeconds() > 0 && seconds <= request.maxWaitSeconds();
    if (!inTime || kind.claims.size() >= MAX_CLAIMS) {
      double emptySeconds = -balance.available() / balance.ratePerSecond();
      return SpendingDecision.refused(obstacle.cause, emptySeconds, false, heldFor);
    }
    SpendingDecision refusal = SpendingDecision.refused(obstacle.cause, seconds, true, heldFor);
    double waitNanos = refusal.waitSeconds().getAsDouble() * NANOS_PER_SECOND;
    long dueNanos = balance.nowNanos() + (long) waitNanos;
    kind.claims.add(new Claim(kind.urgency, request.amount(), dueNanos));
    return refusal;
  }

  /**
   * Returns the time after which tokens are left for a new claim, behind all earlier ones and
   * beside the more urgent requests that will come.
   */
  private double claimSeconds(Kind kind, Balance balance) {
    if (kind.share <= 0) {
      return Double.POSITIVE_INFINITY;
    }
    double claimed = 0;
    double rate = balance.ratePerSecond();
    for (Kind each : kinds.values()) {
      claimed += each.claimedAmount();
      rate -= each.urgency < kind.urgency ? each.share : 0;
    }
    double accumulated =
        (claimed + reserveBefore(kind) - balance.available()) / Math.max(kind.share, rate);
    double ownClaims = kind.claimedAmount() / (CLAIM_RATIO * kind.share);
    double seconds = Math.max(accumulated, Math.max(ownClaims, -kind.credit / kind.share));
    return seconds + CLAIM_MARGIN_SECONDS;
  }

  private void removeExpired(long now) {
    long idleNanos = (long) (IDLE_SECONDS * NANOS_PER_SECOND);
    long graceNanos = (long) (CLAIM_GRACE_SECONDS * NANOS_PER_SECOND);
    for (Kind kind : kinds.values()) {
      kind.claims.removeIf(claim -> now - claim.dueNanos > graceNanos);
    }
    kinds
        .values()
        .removeIf(kind -> now - kind.lastRequestNanos > idleNanos && kind.claims.isEmpty());
  }

  private void updateCredit(Balance balance) {
    long now = balance.nowNanos();
    double rate = balance.ratePerSecond();
    double seconds =
        lastNanos == Long.MIN_VALUE ? 0 : Math.max(0, now - lastNanos) / NANOS_PER_SECOND;
    lastNanos = Math.max(lastNanos, now);
    updateShares(rate, now);
    double creditSeconds = Math.min(CREDIT_SECONDS, MAX_CREDIT_RATIO * balance.capacity() / rate);
    double sum = 0;
    double shares = 0;
    for (Kind kind : kinds.values()) {
      kind.credit = Math.min(kind.credit + seconds * kind.share, creditSeconds * kind.share);
      sum += kind.credit;
      shares += kind.share;
    }
    double excess = sum - balance.available();
    if (excess <= 0 || shares <= 0) {
      return;
    }
    for (Kind kind : kinds.values()) {
      kind.credit -= excess * kind.share / shares;
    }
  }

  private void updateShares(double rate, long now) {
    Collection<Kind> byUrgency = kinds.values();
    double total = 0;
    for (Kind kind : byUrgency) {
      kind.share = kind.demand.perSecond(now);
      kind.isCurtailed = false;
      total += kind.share;
    }
    if (total <= rate) {
      return;
    }
    double left = rate;
    for (Kind kind : byUrgency) {
      left -= kind.minShare(rate / total);
    }
    for (Kind kind : byUrgency) {
      double minShare = kind.minShare(rate / total);
      double extra = Math.min(left, HEADROOM * kind.share - minShare);
      kind.isCurtailed = kind.share > minShare + extra;
      kind.share = minShare + extra;
      left -= extra;
    }
  }

  /** Returns what is left beyond the credit of all urgencies. */
  private double surplus(Balance balance) {
    double surplus = balance.available();
    for (Kind kind : kinds.values()) {
      surplus -= Math.max(0, kind.credit);
    }
    return surplus;
  }

  /**
   * Why a request is refused.
   *
   * @param urgency urgency for which what is left is held
   */
  private record Obstacle(SpendingDecision.Cause cause, int urgency) {}

  /**
   * A refused request for which tokens are kept.
   *
   * @param dueNanos time of its return, on the monotonic clock
   */
  private record Claim(int urgency, double amount, long dueNanos) {}

  /** Demand, credit and claims of one urgency. */
  private static final class Kind {
    private final int urgency;
    private final DecayingRate demand;
    private final List<Claim> claims = new ArrayList<>();
    private double share;

    /** Whether the demand exceeds the share. */
    private boolean isCurtailed;

    private double credit;
    private long lastRequestNanos;

    private Kind(int urgency, long nowNanos) {
      this.urgency = urgency;
      this.demand = DecayingRate.start(DEMAND_SECONDS, MIN_DEMAND_SECONDS, nowNanos);
    }

    private double minShare(double proportion) {
      return share * proportion * MIN_SHARE_RATIO;
    }

    private double claimedAmount() {
      double sum = 0;
      for (Claim claim : claims) {
        sum += claim.amount;
      }
      return sum;
    }

    /** Returns the claim of a request that returns, null if there is none. */
    private Claim findClaim(double amount, long now) {
      long earlyNanos = (long) (EARLY_SECONDS * NANOS_PER_SECOND);
      for (Claim claim : claims) {
        if (claim.amount == amount && now >= claim.dueNanos - earlyNanos) {
          return claim;
        }
      }
      return null;
    }
  }
}
