package org.heatherspread.relay.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.heatherspread.core.placement.EndpointTable;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.rollout.RolloutPhase;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.rollout.VersionGate;
import org.heatherspread.core.rollout.VersionMeter;
import org.heatherspread.core.routing.RendezvousHash;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Selects the version of the endpoints to which a request may be sent, and counts requests and
 * responses by version. Without rollouts, all versions of a service serve.
 *
 * <p>Invariant: a request is never refused for its version while an endpoint of a version in force
 * is usable; if there is none, all versions serve but the one that is being tried or was found bad.
 * Confined to one event loop.
 */
public final class VersionRouting {
  private final boolean enabled;
  private final EndpointTable endpoints;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final VersionGate gate;
  private final VersionMeter meter;

  private VersionRouting(
      boolean enabled,
      EndpointTable endpoints,
      MonotonicClock clock,
      RandomGenerator random,
      VersionGate gate,
      VersionMeter meter) {
    this.enabled = enabled;
    this.endpoints = endpoints;
    this.clock = clock;
    this.random = random;
    this.gate = gate;
    this.meter = meter;
  }

  /**
   * Creates an instance.
   *
   * @param enabled whether the deployment asks for rollouts
   */
  static VersionRouting create(
      boolean enabled, EndpointTable endpoints, MonotonicClock clock, RandomGenerator random) {
    VersionGate gate = VersionGate.create(clock);
    String process = enabled ? Long.toHexString(random.nextLong()) : "";
    return new VersionRouting(
        enabled, endpoints, clock, random, gate, VersionMeter.create(gate, process));
  }

  /** Returns whether the deployment asks for rollouts. */
  public boolean isEnabled() {
    return enabled;
  }

  /** Returns this daemon's view of the versions that may receive requests. */
  public VersionGate gate() {
    return gate;
  }

  /** Returns the counts of this daemon. */
  public VersionMeter meter() {
    return meter;
  }

  /** Returns the slots by which new streams are split between versions. */
  public Map<String, Map<String, Integer>> splitSlots() {
    Map<String, Map<String, Integer>> slots = endpoints.slotsByVersion(clock.millis());
    return enabled ? gate.splitSlots(slots) : slots;
  }

  /** Returns whether an endpoint is part of the capacity that its service needs. */
  public boolean countsAsCapacity(TrackedEndpoint endpoint) {
    return !enabled
        || gate.countsAsCapacity(
            endpoint.registration().service(), endpoint.registration().version());
  }

  /** Returns the endpoints of the versions to which a request may be sent now. */
  List<TrackedEndpoint> candidates(
      CallContext context, CallProgress progress, StreamOrigins origins) {
    String service = context.service();
    List<TrackedEndpoint> all = endpoints.forService(service);
    if (!enabled) {
      return all;
    }
    if (progress.origin != null) {
      return gate.mayContinue(service, progress.origin.version()) ? all : List.of();
    }
    Set<String> inForce =
        gate.state(service)
            .map(RolloutState::inForce)
            .orElseGet(() -> gate.inForce(service, endpoints.versions(service)));
    long now = clock.millis();
    if (select(context, progress, origins) == VersionGate.Target.NEW) {
      List<TrackedEndpoint> ofNew = endpointsOfNew(gate.state(service).orElseThrow(), all, now);
      if (ofNew.stream().anyMatch(endpoint -> endpoint.acceptsRequests(now))) {
        return ofNew;
      }
    }
    List<TrackedEndpoint> inUse =
        retain(all, endpoint -> inForce.contains(endpoint.registration().version()));
    if (inUse.stream().anyMatch(endpoint -> endpoint.isUsable(now))) {
      return inUse;
    }
    return retain(all, endpoint -> !gate.isWithdrawn(service, endpoint.registration().version()));
  }

  /** A request keeps its random number, so that it has one version however often it is asked. */
  private VersionGate.Target select(
      CallContext context, CallProgress progress, StreamOrigins origins) {
    if (progress.versionDraw < 0) {
      progress.versionDraw = random.nextDouble();
    }
    boolean isFirst =
        progress.sendCount == 0
            && progress.refusalCount == 0
            && progress.limitedCount == 0
            && progress.unreachableCount == 0;
    boolean resumable = context.route().isRepeatable() && context.route().resumable();
    Optional<String> assigned =
        resumable && !context.id().isEmpty()
            ? origins.assignedVersion(context.service(), context.id())
            : Optional.empty();
    return gate.select(
        context.service(), context.route().name(), assigned, isFirst, progress.versionDraw);
  }

  private static List<TrackedEndpoint> endpointsOfNew(
      RolloutState state, List<TrackedEndpoint> all, long now) {
    List<TrackedEndpoint> ofNew =
        retain(
            all,
            endpoint ->
                endpoint.registration().version().equals(state.to()) && endpoint.isUsable(now));
    if (state.phase() != RolloutPhase.CANARY || ofNew.size() <= state.endpoints()) {
      return ofNew;
    }
    // All daemons select the same few endpoints, so that these have real load.
    List<String> ids = new ArrayList<>();
    ofNew.forEach(endpoint -> ids.add(endpoint.id()));
    Set<String> selected =
        new HashSet<>(RendezvousHash.select(ids, state.orderId(), state.endpoints()));
    return retain(ofNew, endpoint -> selected.contains(endpoint.id()));
  }

  private static List<TrackedEndpoint> retain(
      List<TrackedEndpoint> endpoints, Predicate<TrackedEndpoint> retained) {
    return endpoints.stream().allMatch(retained)
        ? endpoints
        : endpoints.stream().filter(retained).toList();
  }

  /** Counts a request that is sent to an endpoint. */
  VersionMeter.Trial begin(CallContext context, TrackedEndpoint endpoint) {
    return enabled
        ? meter.begin(
            context.service(),
            endpoint.registration().version(),
            context.route().name(),
            endpoint.id())
        : meter.uncounted();
  }
}
