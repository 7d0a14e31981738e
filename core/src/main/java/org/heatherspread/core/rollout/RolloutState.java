package org.heatherspread.core.rollout;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The versions in force of a service and the move to another one, as decided by the holder of the
 * duty lease. Immutable; stored as JSON under the names of its components. Of two states of a
 * service, the one with the higher sequence is the later one.
 *
 * @param sequence grows with each decision
 * @param inForce versions that receive requests regardless of the move
 * @param handledId identity of the last order that was handled, also if it was refused
 * @param handledEra era of the store in which that order was read
 * @param orderId identity of the order of the move, empty before the first one
 * @param to version that the service moves to, or last moved to; empty before the first order
 * @param startStoreMillis time on the store's clock at which the order was first seen
 * @param durationMillis time allowed for the move
 * @param phaseSinceStoreMillis time on the store's clock at which the phase began
 * @param share share of the requests that the new version receives in the canary phase
 * @param routeShares higher shares of routes with few requests, by route
 * @param endpoints number of endpoints of the new version that receive them
 * @param extendedMillis time by which store failures have extended the move
 * @param reason why the phase was entered
 */
public record RolloutState(
    String service,
    long sequence,
    Set<String> inForce,
    String handledId,
    long handledEra,
    String orderId,
    String to,
    RolloutPhase phase,
    long startStoreMillis,
    long durationMillis,
    long phaseSinceStoreMillis,
    double share,
    Map<String, Double> routeShares,
    int endpoints,
    long extendedMillis,
    String reason) {
  /** Checks the components and copies the set. */
  public RolloutState {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(phase, "phase");
    inForce = Set.copyOf(inForce);
    routeShares = routeShares == null ? Map.of() : Map.copyOf(routeShares);
    handledId = handledId == null ? "" : handledId;
    orderId = orderId == null ? "" : orderId;
    to = to == null ? "" : to;
    reason = reason == null ? "" : reason;
  }

  /** Returns the state of a service without an order. */
  static RolloutState initial(String service, Set<String> inForce) {
    return new RolloutState(
        service,
        1,
        inForce,
        "",
        0,
        "",
        "",
        RolloutPhase.NONE,
        0,
        0,
        0,
        0,
        Map.of(),
        0,
        0,
        "first view");
  }

  RolloutState withSequence(long next) {
    Draft draft = new Draft(this);
    draft.nextSequence = next;
    return draft.build();
  }

  RolloutState withInForce(Set<String> next, String why) {
    Draft draft = new Draft(this);
    draft.nextInForce = next;
    draft.nextReason = why;
    return draft.build();
  }

  /** Returns the state after an order that changes nothing else. */
  RolloutState withHandled(RolloutOrder order) {
    Draft draft = new Draft(this);
    draft.nextHandledId = order.id();
    draft.nextHandledEra = order.era();
    return draft.build();
  }

  /** Returns the state at the start of the move that an order asks for. */
  RolloutState withOrder(RolloutOrder order, long nowStoreMillis) {
    return new RolloutState(
        service,
        sequence + 1,
        inForce,
        order.id(),
        order.era(),
        order.id(),
        order.to(),
        RolloutPhase.PENDING,
        nowStoreMillis,
        order.durationMillis(),
        nowStoreMillis,
        0,
        Map.of(),
        0,
        0,
        "ordered");
  }

  /** Returns the state after a change of the phase. */
  RolloutState withPhase(RolloutPhase next, long nowStoreMillis, String why) {
    Draft draft = new Draft(this);
    draft.nextInForce = next == RolloutPhase.COMPLETED ? Set.of(to) : inForce;
    draft.nextPhase = next;
    draft.nextPhaseSinceStoreMillis = nowStoreMillis;
    draft.nextShare = 0;
    draft.nextRouteShares = Map.of();
    draft.nextReason = why;
    return draft.build();
  }

  /** Returns the state with another share in the same phase. */
  RolloutState withShare(double newShare, int newEndpoints, String why) {
    Draft draft = new Draft(this);
    draft.nextShare = newShare;
    draft.nextRouteShares = Map.of();
    draft.nextEndpoints = newEndpoints;
    draft.nextReason = why;
    return draft.build();
  }

  /** Returns the state with higher shares of some routes. */
  RolloutState withRouteShares(Map<String, Double> shares, String why) {
    Draft draft = new Draft(this);
    draft.nextRouteShares = shares;
    draft.nextReason = why;
    return draft.build();
  }

  /** Returns the share of a route's requests that the new version receives in the canary phase. */
  double shareOf(String route) {
    return routeShares.getOrDefault(route, share);
  }

  /** Returns the state with more time for the move. */
  RolloutState withExtension(long millis) {
    Draft draft = new Draft(this);
    draft.nextExtendedMillis = millis;
    return draft.build();
  }

  /** The next state of a service; what is not set stays, but for the sequence, which grows. */
  private static final class Draft {
    private final RolloutState state;
    private long nextSequence;
    private Set<String> nextInForce;
    private String nextHandledId;
    private long nextHandledEra;
    private RolloutPhase nextPhase;
    private long nextPhaseSinceStoreMillis;
    private double nextShare;
    private Map<String, Double> nextRouteShares;
    private int nextEndpoints;
    private long nextExtendedMillis;
    private String nextReason;

    private Draft(RolloutState state) {
      this.state = state;
      nextSequence = state.sequence + 1;
      nextInForce = state.inForce;
      nextHandledId = state.handledId;
      nextHandledEra = state.handledEra;
      nextPhase = state.phase;
      nextPhaseSinceStoreMillis = state.phaseSinceStoreMillis;
      nextShare = state.share;
      nextRouteShares = state.routeShares;
      nextEndpoints = state.endpoints;
      nextExtendedMillis = state.extendedMillis;
      nextReason = state.reason;
    }

    private RolloutState build() {
      return new RolloutState(
          state.service,
          nextSequence,
          nextInForce,
          nextHandledId,
          nextHandledEra,
          state.orderId,
          state.to,
          nextPhase,
          state.startStoreMillis,
          state.durationMillis,
          nextPhaseSinceStoreMillis,
          nextShare,
          nextRouteShares,
          nextEndpoints,
          nextExtendedMillis,
          nextReason);
    }
  }
}
