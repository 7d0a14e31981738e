package org.heatherspread.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.time.MonotonicClock;

/**
 * What this daemon may admit under limits that other daemons own before their owners know of it:
 * its part of the overshoot allowance. Amounts return to the reserve once an owner has charged
 * them.
 *
 * <p>Part of the reserve is also used while the owner can be reached, so that small requests need
 * not wait for it. An owner that says that little is left of a limit ends this, until it says
 * otherwise.
 *
 * <p>Invariants: what a daemon has admitted within a window and the owner has not charged never
 * exceeds the daemon's part of the reserve; nothing is admitted in advance after the owner said
 * that little is left, so that all daemons together exceed what the owner's bucket held by their
 * parts of the advance at most. Confined to one thread.
 */
final class LocalReserve {
  /** Daemons assumed to share a limit before any are known; more than small fleets have. */
  private static final int ASSUMED_DAEMONS = 12;

  /**
   * Fraction of the reserve that is used in advance. The rest is left for the time after a restart
   * of all daemons, which forget what they have not reported.
   */
  private static final double ADVANCE_FRACTION = 0.5;

  /** Fraction of the advance at which the owner learns of it at once. */
  private static final double PROMPT_REPORT_FRACTION = 0.75;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final String self;
  private final MonotonicClock clock;
  private final OvershootAllowance allowance;
  private final Supplier<SpendingOrder> orders;
  private final Map<String, SpendingOrder> unreportedOrders = new HashMap<>();
  private final Map<String, UnreportedAmounts> unreportedAmounts = new HashMap<>();

  /** Limits of which little was left when their owners last said so. */
  private final Set<String> scarceLimits = new HashSet<>();

  private Set<String> admittingDaemons = Set.of();

  private LocalReserve(
      String self,
      MonotonicClock clock,
      OvershootAllowance allowance,
      Supplier<SpendingOrder> orders) {
    this.self = self;
    this.clock = clock;
    this.allowance = allowance;
    this.orders = orders;
  }

  /**
   * Creates a reserve that knows no other daemons.
   *
   * @param self name of this daemon
   * @param orders creates the order in which requests get the reserve of a limit
   */
  static LocalReserve create(
      String self,
      MonotonicClock clock,
      OvershootAllowance allowance,
      Supplier<SpendingOrder> orders) {
    return new LocalReserve(self, clock, allowance, orders);
  }

  /** Replaces the daemons that share the reserve, empty if unknown. */
  void updateDaemons(Collection<String> admitting) {
    admittingDaemons = Set.copyOf(admitting);
  }

  /** Forgets all other limits. */
  void retainLimits(Collection<String> names) {
    unreportedAmounts.keySet().retainAll(names);
    unreportedOrders.keySet().retainAll(names);
    scarceLimits.retainAll(names);
  }

  /** Records whether the owner of a limit said that enough is left to admit in advance. */
  void recordSupply(String limit, boolean ample) {
    if (ample) {
      scarceLimits.remove(limit);
    } else {
      scarceLimits.add(limit);
    }
  }

  /**
   * Admits a request of which the owner will learn by a report.
   *
   * @return false if the owner has to decide
   */
  boolean admitInAdvance(RateLimit limit, LimitRequest request) {
    if (!limit.mayOverdraw() || scarceLimits.contains(limit.name())) {
      return false;
    }
    UnreportedAmounts unreported = unreported(limit.name());
    long now = clock.millis();
    if (unreported.total(now) + request.amount() > ADVANCE_FRACTION * part(limit)) {
      return false;
    }
    unreported.add(request.amount(), now);
    return true;
  }

  /** Returns whether so much of the advance is used that the owner should learn of it at once. */
  boolean needsPromptReport(RateLimit limit) {
    double used = unreported(limit.name()).total(clock.millis());
    return used >= PROMPT_REPORT_FRACTION * ADVANCE_FRACTION * part(limit);
  }

  /**
   * Decides on a request without the owner, which can't be asked.
   *
   * @param retrySeconds time after which the owner is asked again
   */
  SpendingDecision admit(RateLimit limit, LimitRequest request, double retrySeconds) {
    long now = clock.millis();
    UnreportedAmounts unreported = unreported(limit.name());
    // Whole requests leave no room for what one report after the other would allow again.
    double used = limit.mayOverdraw() ? unreported.total(now) : unreported.totalWithReported(now);
    double reserve = part(limit);
    if (used + request.amount() > reserve || !ordered(limit, request, used, reserve)) {
      return SpendingDecision.refused(SpendingDecision.Cause.NO_OWNER, retrySeconds);
    }
    unreported.add(request.amount(), now);
    return SpendingDecision.ADMITTED;
  }

  private UnreportedAmounts unreported(String limit) {
    return unreportedAmounts.computeIfAbsent(
        limit, name -> new UnreportedAmounts(allowance.windowMillis()));
  }

  /** Returns what this daemon may admit in a window without the owner. */
  private double part(RateLimit limit) {
    double reserve = allowance.fallbackReserve(limit.ratePerSecond(), limit.burst());
    int daemonCount = admittingDaemons.isEmpty() ? ASSUMED_DAEMONS : admittingDaemons.size();
    if (limit.mayOverdraw()) {
      return reserve / daemonCount;
    }
    int wholeRequests = (int) reserve;
    List<String> withExtraRequest =
        RendezvousHash.select(admittingDaemons, limit.name(), wholeRequests % daemonCount);
    return wholeRequests / daemonCount + (withExtraRequest.contains(self) ? 1 : 0);
  }

  /** Returns whether a request comes before others for which the reserve is held. */
  private boolean ordered(RateLimit limit, LimitRequest request, double used, double reserve) {
    // The owner decides on the return of the caller, so that no tokens are kept for it here.
    LimitRequest withoutClaim = new LimitRequest(request.amount(), request.urgency(), 0);
    SpendingOrder.Balance balance =
        new SpendingOrder.Balance(
            reserve - used,
            reserve / allowance.windowMillis() * MILLIS_PER_SECOND,
            reserve,
            clock.nanos());
    return unreportedOrders
        .computeIfAbsent(limit.name(), name -> orders.get())
        .decide(withoutClaim, balance)
        .admitted();
  }

  /**
   * Starts a report of what was admitted without the owner, to be sent with the next request to it.
   *
   * @return the amount to report, 0 if there is none or a report is in progress
   */
  double startReport(String limit) {
    UnreportedAmounts unreported = unreportedAmounts.get(limit);
    return unreported == null ? 0 : unreported.startReport(clock.millis());
  }

  /**
   * Ends a report that was started with a positive amount; others are ignored.
   *
   * @param charged whether the owner has charged the amount
   */
  void endReport(String limit, boolean charged) {
    UnreportedAmounts unreported = unreportedAmounts.get(limit);
    if (unreported != null) {
      unreported.endReport(charged, clock.millis());
    }
  }
}
