package org.heatherspread.relay.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.EnginePerformance;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.CallKind;

/**
 * Selects the endpoint for each attempt of one request. {@link #candidates} is the only place that
 * decides at which endpoints of the service the request may begin or its stream may continue.
 *
 * <p>Invariant: an endpoint that was tried is not selected again, unless its limit did not admit
 * the request. Confined to the event loop of its call.
 */
final class EndpointSelection {
  /** Maximum {@code Retry-After} of requests that limited endpoints did not admit. */
  private static final double MAX_LIMIT_RETRY_AFTER_SECONDS = 2;

  /** Batch slots assumed for the work estimate if no endpoint is available. */
  private static final int DEFAULT_SLOTS = 24;

  /**
   * Share of the wait at an endpoint up to which it has room for a request that can only be late,
   * so that such requests do not delay others.
   */
  private static final double LATE_ROOM_SHARE = 0.5;

  private final RelayState state;
  private final CallContext context;
  private final CallProgress progress;
  private final Set<String> triedEndpoints = new HashSet<>();

  private EndpointSelection(RelayState state, CallContext context, CallProgress progress) {
    this.state = state;
    this.context = context;
    this.progress = progress;
  }

  /** Creates a selection for a request that tried no endpoint yet. */
  static EndpointSelection create(RelayState state, CallContext context, CallProgress progress) {
    return new EndpointSelection(state, context, progress);
  }

  /**
   * Why no endpoint can be selected.
   *
   * @param retryAfterSeconds time after which the caller may retry
   */
  record Unavailability(Refusal refusal, double retryAfterSeconds) {}

  /** Chooses among the candidates that were not tried and would admit the request. */
  Optional<Choice> choose() {
    return choose(excluded());
  }

  private Optional<Choice> choose(Set<String> excluded) {
    return state
        .chooser(context.service())
        .choose(candidates(), context.work(), excluded, state.clock().millis(), state.random());
  }

  /** Chooses among the endpoints that have room, which the given choice need not have. */
  Optional<Choice> chooseWithRoom(Choice choice, boolean late) {
    long now = state.clock().millis();
    double maxWait = maxWaitMillis(late);
    if (hasRoom(choice.endpoint(), maxWait, now)) {
      return Optional.of(choice);
    }
    Set<String> excluded = excluded();
    for (TrackedEndpoint endpoint : candidates()) {
      if (!hasRoom(endpoint, maxWait, now)) {
        excluded.add(endpoint.id());
      }
    }
    // An ejected endpoint has no room while others are only full.
    boolean onlyEjected = !choice.endpoint().health().admits(now);
    return choose(excluded).filter(each -> onlyEjected || each.endpoint().health().admits(now));
  }

  /** Returns whether the request can be sent now, or has no endpoint at all to wait for. */
  boolean canDispatch(boolean late) {
    long now = state.clock().millis();
    double maxWait = maxWaitMillis(late);
    Set<String> excluded = excluded();
    boolean healthy = false;
    boolean ejected = false;
    boolean ejectedWithRoom = false;
    for (TrackedEndpoint endpoint : candidates()) {
      if (!endpoint.acceptsRequests(now) || excluded.contains(endpoint.id())) {
        continue;
      }
      boolean room = hasRoom(endpoint, maxWait, now);
      if (endpoint.health().admits(now)) {
        if (room) {
          return true;
        }
        healthy = true;
      } else {
        ejected = true;
        ejectedWithRoom |= room;
      }
    }
    return !healthy && (!ejected || ejectedWithRoom);
  }

  private double maxWaitMillis(boolean late) {
    double millis = state.waitingCalls().maxEndpointWaitMillis(context.service());
    return late ? LATE_ROOM_SHARE * millis : millis;
  }

  private boolean hasRoom(TrackedEndpoint endpoint, double maxWaitMillis, long now) {
    return WaitingCalls.hasRoom(endpoint, state.chooser(context.service()), maxWaitMillis, now);
  }

  /** Returns the time of one endpoint that the request takes. */
  double workMillis(Optional<Choice> choice) {
    Workload work = context.work();
    int slots = choice.map(found -> found.endpoint().registration().slots()).orElse(DEFAULT_SLOTS);
    if (work.promptTokens() == 0) {
      return choice.map(Choice::ownMillis).orElse(0.0) / Math.max(1, slots);
    }
    int cached = choice.map(found -> found.endpoint().cachedTokens(work)).orElse(0);
    int uncached = Math.max(0, work.promptTokens() - cached);
    EnginePerformance performance = state.enginePerformance(context.service()).performance();
    return performance.workMillis(work.promptTokens(), uncached, work.answerTokens(), slots);
  }

  /** Returns the endpoints at which the request may begin or its stream may continue. */
  private List<TrackedEndpoint> candidates() {
    List<TrackedEndpoint> all =
        state.versionRouting().candidates(context, progress, state.streamOrigins());
    if (progress.origin != null) {
      return ofVersion(without(all, TrackedEndpoint::mayHaveStopped), progress.origin.version());
    }
    boolean resumable = context.route().kind() == CallKind.STREAM && context.route().isRepeatable();
    List<TrackedEndpoint> endpoints = resumable ? preferRunning(all) : all;
    Optional<String> assigned =
        resumable && !context.id().isEmpty()
            ? state.streamOrigins().assignedVersion(context.service(), context.id())
            : Optional.empty();
    if (assigned.isEmpty()) {
      return endpoints;
    }
    long now = state.clock().millis();
    List<TrackedEndpoint> ofAssigned = ofVersion(endpoints, assigned.get());
    boolean available = ofAssigned.stream().anyMatch(endpoint -> endpoint.isUsable(now));
    return available ? ofAssigned : endpoints;
  }

  /**
   * Returns the endpoints whose registered incarnations have not ended, or all if there is none.
   */
  private List<TrackedEndpoint> preferRunning(List<TrackedEndpoint> endpoints) {
    long now = state.clock().millis();
    List<TrackedEndpoint> running = without(endpoints, TrackedEndpoint::hasStopped);
    boolean available = running.stream().anyMatch(endpoint -> endpoint.isUsable(now));
    return available ? running : endpoints;
  }

  private static List<TrackedEndpoint> without(
      List<TrackedEndpoint> endpoints, Predicate<TrackedEndpoint> excluded) {
    return endpoints.stream().noneMatch(excluded)
        ? endpoints
        : endpoints.stream().filter(excluded.negate()).toList();
  }

  private static List<TrackedEndpoint> ofVersion(List<TrackedEndpoint> endpoints, String version) {
    return endpoints.stream()
        .filter(endpoint -> endpoint.registration().version().equals(version))
        .toList();
  }

  /** Returns the endpoints that were tried and those that would admit nothing now. */
  private Set<String> excluded() {
    Set<String> excluded = state.endpointLimits().closedEndpoints();
    excluded.addAll(triedEndpoints);
    excluded.addAll(endpointsWithoutRoom());
    return excluded;
  }

  private Set<String> endpointsWithoutRoom() {
    return state.endpointNotices().endpointsWithoutRoom(context.service(), candidates());
  }

  /** Records that the request is about to be sent to an endpoint. */
  void recordTried(TrackedEndpoint endpoint) {
    triedEndpoints.add(endpoint.id());
  }

  /** Records that the limit of an endpoint did not admit the request. */
  void recordLimited(TrackedEndpoint endpoint) {
    triedEndpoints.remove(endpoint.id());
  }

  /** Returns why no endpoint was chosen. */
  Unavailability unavailability(double retryAfterSeconds) {
    Set<String> full = endpointsWithoutRoom();
    full.addAll(triedEndpoints);
    Optional<Choice> limited = choose(full);
    if (limited.isPresent()) {
      return limitedBy(limited.get().endpoint(), retryAfterSeconds);
    }
    double restSeconds = state.endpointNotices().shortestRestSeconds(candidates());
    if (restSeconds > 0) {
      double seconds = Math.max(retryAfterSeconds, restSeconds);
      return new Unavailability(Refusal.ENDPOINTS_REST, seconds);
    }
    if (full.size() > triedEndpoints.size()) {
      return new Unavailability(Refusal.ENDPOINTS_FULL, retryAfterSeconds);
    }
    if (progress.refusalCount > 0) {
      return new Unavailability(Refusal.REFUSED_BY_ENDPOINTS, retryAfterSeconds);
    }
    if (progress.origin != null) {
      double seconds = RelayCall.RESUMPTION_RETRY_AFTER_SECONDS;
      return new Unavailability(Refusal.STREAM_VERSION_GONE, seconds);
    }
    return new Unavailability(Refusal.NO_ENDPOINT, retryAfterSeconds);
  }

  /** Returns a refusal whose time to retry spreads callers over the wait for an endpoint. */
  Unavailability limitedBy(TrackedEndpoint endpoint, double retryAfterSeconds) {
    double waitSeconds = state.endpointLimits().closedSeconds(endpoint);
    double spread = waitSeconds * (1 + state.random().nextDouble());
    double seconds = Math.min(MAX_LIMIT_RETRY_AFTER_SECONDS, Math.max(retryAfterSeconds, spread));
    return new Unavailability(Refusal.ENDPOINT_LIMITS, seconds);
  }
}
