package org.heatherspread.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides the next state of the move of a service to another version.
 *
 * <p>A move has a canary phase, in which the new version receives a share of the requests well
 * below the bound and at its end a larger one for a moment, and a shift, in which it receives all
 * of them while the streams of the others end. The canary phase lasts as long as the time for the
 * shift allows, since a fault that begins in the shift meets all requests. A move whose verdict is
 * open when the shift has to begin is reverted.
 *
 * <p>Invariant: a decision depends on the stored state and on what is observed; the recent counts
 * that are kept besides only let a fault be found earlier. Confined to one thread.
 */
public final class RolloutDecider {
  /** Share of the permitted fraction that the canary phase uses, as views of daemons differ. */
  private static final double SHARE_RATIO = 0.6;

  /**
   * Share of the requests permitted until the deadline beyond which the new version receives none
   * for a while; the rest is for a fault in the shift.
   */
  private static final double CAP_RATIO = 0.5;

  /** Share of the permitted requests below which it receives requests again. */
  private static final double RESUME_RATIO = 0.45;

  /** Time by which the counts of all daemons are late. */
  private static final long COUNTS_DELAY_MILLIS = 1_000;

  /** Time in the canary phase after which the requests of each route are known. */
  private static final long LEARNING_MILLIS = 2_000;

  /** Canary requests of a route that are aimed at, of which some end after the verdict. */
  private static final double ROUTE_REQUESTS = 10;

  private static final double MAX_ROUTE_SHARE = 0.4;

  /** Share of the tolerated requests that may be spent on routes with few requests. */
  private static final double MAX_EXTRA_RATIO = 0.3;

  /** Fewest endpoints in the canary phase, so that the fault of one is told from the version's. */
  private static final int MIN_CANARY_ENDPOINTS = 3;

  /** Time for the order to be read and for the status to be written. */
  private static final long MARGIN_MILLIS = 1_200;

  /** Share of the duration that remains for the shift if the margin is long beside it. */
  private static final double MIN_END_RATIO = 0.8;

  /**
   * Time for the shift if the duration is long: streams take 2 to 4 s, and daemons learn the phase
   * within 1 to 3 s. The version that turns bad in the shift gets most requests, so it is short.
   */
  private static final long MAX_DRAIN_MILLIS = 7_000;

  private static final double DRAIN_RATIO = 0.4;

  /**
   * Share of the requests in the step before the shift. A fault that began just before it is found
   * while the new version has a part of the requests only.
   */
  private static final double STEP_SHARE = 0.3;

  /** Time of that step: a fault is found and known to all daemons within it. */
  private static final long MAX_STEP_MILLIS = 1_500;

  private static final double STEP_RATIO = 1 / 8.0;

  /** Shortest shift: every daemon has read the phase by then. */
  private static final long MIN_DRAIN_MILLIS = 3_000;

  private static final double MIN_DRAIN_RATIO = 0.25;
  private static final long MIN_CANARY_MILLIS = 2_000;
  private static final double MIN_CANARY_RATIO = 1 / 6.0;

  /** Time over which recent counts are judged besides all counts of the move. */
  private static final long RECENT_MILLIS = 2_500;

  /** Responses of the new version in that time without which there is no shift. */
  private static final long MIN_RECENT_OUTCOMES = 4;

  /**
   * Time after which versions that no order names are taken in force: an order may be read after
   * the registrations of its endpoints.
   */
  private static final long ADOPTION_MILLIS = 2_000;

  /** Time after a move for which registrations of endpoints that were stopped may remain. */
  private static final long REGISTRATIONS_LEFT_MILLIS = 20_000;

  private final RolloutBounds bounds;
  private final Map<String, Deque<Snapshot>> snapshots = new HashMap<>();
  private final Map<String, Long> unorderedSince = new HashMap<>();

  private RolloutDecider(RolloutBounds bounds) {
    this.bounds = bounds;
  }

  /** Creates a decider. */
  public static RolloutDecider create(RolloutBounds bounds) {
    return new RolloutDecider(bounds);
  }

  /**
   * What the holder of the duty lease observes of a service.
   *
   * @param nowStoreMillis time on the store's clock
   * @param endpoints number of usable endpoints of each version
   * @param counts counts of all daemons since the order
   * @param runningElsewhere requests in progress at versions other than the new one
   * @param streams whether responses of the service are streams, which take seconds
   * @param outageMillis time since the order in which the store could not be read
   */
  public record View(
      long nowStoreMillis,
      Map<String, Integer> endpoints,
      List<RouteCounts> counts,
      int runningElsewhere,
      boolean streams,
      long outageMillis) {}

  private record Snapshot(long atStoreMillis, String orderId, List<RouteCounts> counts) {}

  /** Forgets what was observed, as another daemon decided meanwhile. */
  public void reset() {
    snapshots.clear();
    unorderedSince.clear();
  }

  /**
   * Returns the state of a service that has none. All its versions are in force, except one that an
   * order names, which must be moved to step by step.
   */
  public Optional<RolloutState> initial(
      String service, Set<String> versions, Optional<RolloutOrder> order) {
    Set<String> inForce = new HashSet<>(versions);
    order.filter(each -> each.problem().isEmpty()).ifPresent(each -> inForce.remove(each.to()));
    if (inForce.isEmpty() && order.isPresent()) {
      inForce.addAll(versions);
    }
    return inForce.isEmpty()
        ? Optional.empty()
        : Optional.of(RolloutState.initial(service, inForce));
  }

  /** Returns the next state, empty if the state stays. */
  public Optional<RolloutState> next(RolloutState state, Optional<RolloutOrder> order, View view) {
    if (order.isPresent() && !order.get().id().equals(state.handledId())) {
      return Optional.of(handle(state, order.get(), view));
    }
    if (state.phase().isInProgress()) {
      return advance(state, view);
    }
    return adopt(state, view);
  }

  private RolloutState handle(RolloutState state, RolloutOrder order, View view) {
    boolean sameContent = !state.orderId().isEmpty() && order.hasContentOf(state);
    boolean rewritten = sameContent && order.era() != state.handledEra();
    long deadline = state.startStoreMillis() + state.durationMillis();
    boolean duplicate =
        sameContent && (state.phase().isInProgress() || view.nowStoreMillis() < deadline);
    if (rewritten || duplicate) {
      return state.withHandled(order);
    }
    if (!order.problem().isEmpty()) {
      return refuse(state, order, view, order.problem());
    }
    if (state.inForce().contains(order.to())) {
      return state.phase().isInProgress()
          ? state
              .withPhase(
                  RolloutPhase.REVERTED,
                  view.nowStoreMillis(),
                  "another order names the version in force")
              .withHandled(order)
          : confirm(state, order, view);
    }
    return state.withOrder(order, view.nowStoreMillis());
  }

  /**
   * Handles an order for a version in force. A move to the only one is complete. Beside others it
   * gets no status: {@code reverted} would drain its endpoints and {@code completed} stop the
   * others.
   */
  private static RolloutState confirm(RolloutState state, RolloutOrder order, View view) {
    boolean known = state.phase() == RolloutPhase.COMPLETED && order.to().equals(state.to());
    if (known || state.inForce().size() > 1) {
      return state.withHandled(order);
    }
    return state
        .withOrder(order, view.nowStoreMillis())
        .withPhase(RolloutPhase.COMPLETED, view.nowStoreMillis(), "the version is in force");
  }

  /** Refuses an order without an effect on a move in progress or on a version in force. */
  private static RolloutState refuse(
      RolloutState state, RolloutOrder order, View view, String problem) {
    boolean inForce = state.inForce().contains(order.to());
    if (state.phase().isInProgress() || inForce || order.to().isEmpty()) {
      return state.withHandled(order);
    }
    return state
        .withOrder(order, view.nowStoreMillis())
        .withPhase(RolloutPhase.REVERTED, view.nowStoreMillis(), problem);
  }

  /** Returns why an order had no effect, for the log; empty if it had one. */
  public static String refusal(RolloutState before, RolloutOrder order, RolloutState after) {
    if (!order.problem().isEmpty()) {
      return order.problem();
    }
    if (after.orderId().equals(order.id())) {
      return after.phase() == RolloutPhase.REVERTED ? after.reason() : "";
    }
    return before.inForce().contains(order.to()) && !order.hasContentOf(before)
        ? "the version is in force"
        : "duplicate of an order that was handled";
  }

  private Optional<RolloutState> advance(RolloutState state, View view) {
    long extension = Math.min(bounds.extensionMillis(), view.outageMillis());
    if (extension > state.extendedMillis() + MIN_CANARY_MILLIS / 2) {
      return Optional.of(state.withExtension(extension));
    }
    Timeline timeline = Timeline.of(state, view.streams());
    long elapsed = view.nowStoreMillis() - state.startStoreMillis() - state.extendedMillis();
    int available = view.endpoints().getOrDefault(state.to(), 0);
    return switch (state.phase()) {
      case PENDING -> advancePending(state, view, timeline, elapsed, available);
      case CANARY -> advanceCanary(state, view, timeline, elapsed, available);
      case SHIFT -> advanceShift(state, view, timeline, elapsed, available);
      default -> Optional.empty();
    };
  }

  private Optional<RolloutState> advancePending(
      RolloutState state, View view, Timeline timeline, long elapsed, int available) {
    boolean late = elapsed > timeline.latestShift - timeline.minCanary;
    if (late) {
      String why = available == 0 ? "no endpoint of the version" : "too little time for a canary";
      return Optional.of(state.withPhase(RolloutPhase.REVERTED, view.nowStoreMillis(), why));
    }
    if (available == 0) {
      return Optional.empty();
    }
    double share = SHARE_RATIO * bounds.canaryFraction();
    return Optional.of(
        state
            .withPhase(RolloutPhase.CANARY, view.nowStoreMillis(), "endpoints are registered")
            .withShare(share, canaryEndpoints(state, view, share), "endpoints are registered"));
  }

  /**
   * Returns the number of endpoints that receive the share: about as many as it loads like the
   * others, so that faults under load show.
   */
  private static int canaryEndpoints(RolloutState state, View view, double share) {
    int others = 0;
    for (Map.Entry<String, Integer> each : view.endpoints().entrySet()) {
      others += each.getKey().equals(state.to()) ? 0 : each.getValue();
    }
    return Math.max(MIN_CANARY_ENDPOINTS, (int) (share * others));
  }

  private Optional<RolloutState> advanceCanary(
      RolloutState state, View view, Timeline timeline, long elapsed, int available) {
    Verdict verdict = judge(state, view, Math.min(state.endpoints(), available));
    long now = view.nowStoreMillis();
    if (verdict.result() == Verdict.Result.BAD) {
      return Optional.of(state.withPhase(RolloutPhase.REVERTED, now, verdict.reason()));
    }
    boolean longEnough = now - state.phaseSinceStoreMillis() >= timeline.minCanary;
    boolean ready = verdict.result() == Verdict.Result.GOOD && available > 0 && longEnough;
    boolean stepped = state.share() > bounds.canaryFraction();
    // A holder that takes over late, or a verdict that was open, leaves no time for the step.
    boolean supported =
        !stepped || hasRecentOutcomes(state, view) || elapsed >= timeline.latestShift;
    if (ready && elapsed >= timeline.shiftAt && supported) {
      return Optional.of(state.withPhase(RolloutPhase.SHIFT, now, verdict.reason()));
    }
    if (ready && !stepped && elapsed >= timeline.stepAt) {
      double share = Math.max(STEP_SHARE, 2 * bounds.canaryFraction());
      return Optional.of(
          state.withShare(share, canaryEndpoints(state, view, share), verdict.reason()));
    }
    if (elapsed >= timeline.latestShift) {
      return Optional.of(
          state.withPhase(RolloutPhase.REVERTED, now, "verdict open: " + verdict.reason()));
    }
    return stepped
        ? Optional.empty()
        : limitShare(state, view, elapsed)
            .or(() -> raiseRouteShares(state, view, timeline, elapsed));
  }

  /** Returns whether the good verdict is based on the present, too. */
  private boolean hasRecentOutcomes(RolloutState state, View view) {
    List<RouteCounts> earlier = snapshots.get(state.service()).getFirst().counts;
    long outcomes = 0;
    for (RouteCounts each : difference(view.counts(), earlier)) {
      outcomes += each.version().equals(state.to()) ? each.outcomes() : 0;
    }
    return outcomes >= MIN_RECENT_OUTCOMES;
  }

  /** Stops the canary requests while they are close to the bound. */
  private Optional<RolloutState> limitShare(RolloutState state, View view, long elapsed) {
    long all = 0;
    long fresh = 0;
    for (RouteCounts each : view.counts()) {
      all += each.requests();
      fresh += each.version().equals(state.to()) ? each.requests() : 0;
    }
    double atDeadline = (double) all * state.durationMillis() / Math.max(1, elapsed);
    double permitted = bounds.canaryFraction() * atDeadline + bounds.canaryTolerance();
    if (state.share() > 0 && fresh > CAP_RATIO * permitted) {
      return Optional.of(state.withShare(0, state.endpoints(), "close to the canary bound"));
    }
    if (state.share() == 0 && fresh < RESUME_RATIO * permitted) {
      double share = SHARE_RATIO * bounds.canaryFraction();
      return Optional.of(state.withShare(share, state.endpoints(), "below the canary bound"));
    }
    return Optional.empty();
  }

  /** Gives routes with few requests a higher share, so that a fault of theirs shows in time. */
  private Optional<RolloutState> raiseRouteShares(
      RolloutState state, View view, Timeline timeline, long elapsed) {
    long inPhase = view.nowStoreMillis() - state.phaseSinceStoreMillis();
    boolean due = state.share() > 0 && state.routeShares().isEmpty() && inPhase >= LEARNING_MILLIS;
    double remaining = timeline.stepAt - elapsed;
    if (!due || remaining <= 0) {
      return Optional.empty();
    }
    Map<String, Double> requests = new HashMap<>();
    view.counts()
        .forEach(each -> requests.merge(each.route(), (double) each.requests(), Double::sum));
    double observedMillis = Math.max(COUNTS_DELAY_MILLIS, elapsed - COUNTS_DELAY_MILLIS);
    Map<String, Double> raised = new HashMap<>();
    double extra = 0;
    for (Map.Entry<String, Double> each : requests.entrySet()) {
      double expected = each.getValue() * remaining / observedMillis;
      double share = Math.min(MAX_ROUTE_SHARE, ROUTE_REQUESTS / Math.max(1, expected));
      if (share > state.share()) {
        raised.put(each.getKey(), share);
        extra += (share - state.share()) * expected;
      }
    }
    if (raised.isEmpty()) {
      return Optional.empty();
    }
    double ratio = Math.min(1, MAX_EXTRA_RATIO * bounds.canaryTolerance() / Math.max(1, extra));
    raised.replaceAll((route, share) -> state.share() + ratio * (share - state.share()));
    return Optional.of(state.withRouteShares(raised, "routes with few requests"));
  }

  private Optional<RolloutState> advanceShift(
      RolloutState state, View view, Timeline timeline, long elapsed, int available) {
    long now = view.nowStoreMillis();
    Verdict verdict = judge(state, view, available);
    if (verdict.result() == Verdict.Result.BAD) {
      return Optional.of(state.withPhase(RolloutPhase.REVERTED, now, verdict.reason()));
    }
    boolean drained =
        now - state.phaseSinceStoreMillis() >= timeline.minDrain && view.runningElsewhere() == 0;
    if (!drained && elapsed < timeline.end) {
      return Optional.empty();
    }
    if (available == 0) {
      return Optional.of(state.withPhase(RolloutPhase.REVERTED, now, "no endpoint of the version"));
    }
    String why = drained ? "others are idle" : "deadline; others have " + view.runningElsewhere();
    return Optional.of(state.withPhase(RolloutPhase.COMPLETED, now, why));
  }

  /**
   * Judges all counts since the order, and the recent ones, as early ones may hide a late fault.
   */
  private Verdict judge(RolloutState state, View view, int usedEndpoints) {
    Deque<Snapshot> known =
        snapshots.computeIfAbsent(state.service(), service -> new ArrayDeque<>());
    known.removeIf(each -> !each.orderId.equals(state.orderId()));
    known.addLast(new Snapshot(view.nowStoreMillis(), state.orderId(), view.counts()));
    while (known.getFirst().atStoreMillis < view.nowStoreMillis() - RECENT_MILLIS) {
      known.removeFirst();
    }
    Verdict verdict = Verdict.of(view.counts(), state.to(), usedEndpoints);
    if (verdict.result() == Verdict.Result.BAD) {
      return verdict;
    }
    List<RouteCounts> recent = difference(view.counts(), known.getFirst().counts);
    Verdict ofRecent = Verdict.of(recent, state.to(), usedEndpoints);
    return ofRecent.result() == Verdict.Result.BAD ? ofRecent : verdict;
  }

  /**
   * Returns the counts of the new version since an earlier time beside all counts: the others may
   * have hardly any recent ones.
   */
  private static List<RouteCounts> difference(List<RouteCounts> now, List<RouteCounts> earlier) {
    List<RouteCounts> difference = new ArrayList<>();
    for (RouteCounts each : now) {
      RouteCounts before = RouteCounts.none(each.version(), each.route());
      for (RouteCounts other : earlier) {
        boolean same = other.version().equals(each.version()) && other.route().equals(each.route());
        before = same ? other : before;
      }
      difference.add(each.minus(before));
    }
    return difference;
  }

  /**
   * Takes versions in force that no order names, as endpoints may be replaced by those of another
   * version without an order. What a move has left behind is not taken in force again.
   */
  private Optional<RolloutState> adopt(RolloutState state, View view) {
    boolean served = state.inForce().stream().anyMatch(view.endpoints()::containsKey);
    Set<String> others = new HashSet<>(view.endpoints().keySet());
    others.removeAll(state.inForce());
    if (state.phase() == RolloutPhase.REVERTED) {
      others.remove(state.to());
    }
    long sinceEnd = view.nowStoreMillis() - state.phaseSinceStoreMillis();
    boolean leftBehind =
        state.phase() == RolloutPhase.COMPLETED && sinceEnd < REGISTRATIONS_LEFT_MILLIS;
    if (others.isEmpty() || (served && leftBehind)) {
      unorderedSince.remove(state.service());
      return Optional.empty();
    }
    long since = unorderedSince.computeIfAbsent(state.service(), name -> view.nowStoreMillis());
    if (view.nowStoreMillis() - since < ADOPTION_MILLIS) {
      return Optional.empty();
    }
    unorderedSince.remove(state.service());
    others.addAll(state.inForce());
    String why =
        served ? "endpoints of a version without an order" : "no endpoint of a version in force";
    return Optional.of(state.withInForce(others, why));
  }

  /** Times of a move since its start, without its extension. */
  private record Timeline(
      long stepAt, long shiftAt, long latestShift, long end, long minCanary, long minDrain) {
    private static Timeline of(RolloutState state, boolean streams) {
      long duration = state.durationMillis();
      long end = Math.max((long) (MIN_END_RATIO * duration), duration - MARGIN_MILLIS);
      long minDrain = Math.min(MIN_DRAIN_MILLIS, (long) (MIN_DRAIN_RATIO * duration));
      long streamDrain = Math.min(MAX_DRAIN_MILLIS, (long) (DRAIN_RATIO * duration));
      long drain = streams ? Math.max(minDrain, streamDrain) : minDrain;
      long step = Math.min(MAX_STEP_MILLIS, (long) (STEP_RATIO * duration));
      long minCanary = Math.min(MIN_CANARY_MILLIS, (long) (MIN_CANARY_RATIO * duration));
      return new Timeline(
          end - drain - step, end - drain, end - minDrain, end, minCanary, minDrain);
    }
  }
}
