package org.heatherspread.daemon.routing;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.routing.CostRouter;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.DispatchOutcome;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.LeastLoadedRouter;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.core.routing.RoutingDecision;
import org.heatherspread.core.routing.RoutingRequest;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.core.routing.RoutingWeights;
import org.heatherspread.daemon.DaemonContext;

/**
 * Selects endpoints of models by expected cost and endpoints of plain services by load.
 *
 * <p>Thread-safe and non-blocking; a selection uses local state only.
 */
public final class CostSelector implements EndpointSelector {
  private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final int MAX_PEER_FACTOR = 8;
  private static final LatencyTarget DEFAULT_LATENCY_TARGET =
      new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33));
  private static final long[] NO_HASHES = new long[0];

  private final DaemonContext context;
  private final RoutingSettings settings;
  private final EndpointTelemetry telemetry;
  private final RoutingWeights weights;
  private final HealthPolicy health = HealthPolicy.defaults();
  private final CostRouter costRouter;
  private final LeastLoadedRouter leastLoadedRouter;
  private final Counter cachedTokens;
  private final Counter uncachedTokens;
  private final Counter aboveTarget;
  private final Counter noEndpointRefusals;
  private final Counter deadlineRefusals;

  private CostSelector(
      DaemonContext context, RoutingSettings settings, EndpointTelemetry telemetry) {
    this.context = context;
    this.settings = settings;
    this.telemetry = telemetry;
    this.weights = settings.weights();
    this.costRouter = CostRouter.create(weights, health, telemetry.index());
    this.leastLoadedRouter = LeastLoadedRouter.create(weights.withPeerFactor(1), health);
    MeterRegistry meters = context.meters();
    this.cachedTokens = meters.counter("heatherspread.routing.prompt.tokens", "cache", "hit");
    this.uncachedTokens = meters.counter("heatherspread.routing.prompt.tokens", "cache", "miss");
    this.aboveTarget = meters.counter("heatherspread.routing.over.target");
    this.noEndpointRefusals = refusalCounter(meters, ErrorKind.NO_ENDPOINT);
    this.deadlineRefusals = refusalCounter(meters, ErrorKind.DEADLINE_UNREACHABLE);
  }

  private static Counter refusalCounter(MeterRegistry meters, ErrorKind kind) {
    return meters.counter("heatherspread.routing.refusals", "kind", kind.code());
  }

  /** Creates a selector that uses the endpoint views of the telemetry. */
  public static CostSelector create(
      DaemonContext context, RoutingSettings settings, EndpointTelemetry telemetry) {
    return new CostSelector(context, settings, telemetry);
  }

  @Override
  public Selection select(SelectionRequest request) {
    ServiceSpec service = context.configuration().get().services().get(request.service());
    boolean isModel = service == null || service.kind() == ServiceKind.MODEL;
    long[] hashes = isModel ? PrefixHashes.of(request.prompt()) : NO_HASHES;
    RoutingRequest routingRequest = toRoutingRequest(request, service, hashes);
    long now = context.clock().millis();
    Optional<RoutingDecision> decision = choose(request, routingRequest, isModel, now);
    if (decision.filter(this::acceptsNewWork).isEmpty()) {
      telemetry.refresh();
      decision = choose(request, routingRequest, isModel, now).filter(this::acceptsNewWork);
    }
    if (decision.isEmpty()) {
      noEndpointRefusals.increment();
      throw ServingException.of(
              ErrorKind.NO_ENDPOINT, "no live endpoint serves " + request.service())
          .withRetryAfter(NO_ENDPOINT_RETRY_AFTER);
    }
    return createSelection(request, decision.get(), hashes, isModel, now);
  }

  /** Checks the current membership, as the snapshot can be one polling interval old. */
  private boolean acceptsNewWork(RoutingDecision decision) {
    String id = decision.endpoint().profile().id();
    return context.membership().get().member(id).map(Member::takesNewWork).orElse(false);
  }

  private Optional<RoutingDecision> choose(
      SelectionRequest request, RoutingRequest routingRequest, boolean isModel, long now) {
    RoutingSnapshot snapshot = telemetry.snapshot(request.service());
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (!isModel) {
      return leastLoadedRouter.choose(snapshot, routingRequest, now, random);
    }
    double peerFactor = Math.min(MAX_PEER_FACTOR, telemetry.regionDaemonCount());
    return costRouter
        .withWeights(weights.withPeerFactor(peerFactor))
        .choose(snapshot, routingRequest, now, random);
  }

  private RoutingRequest toRoutingRequest(
      SelectionRequest request, ServiceSpec service, long[] hashes) {
    return new RoutingRequest(
        hashes,
        PrefixHashes.estimateTokens(request.prompt().length),
        Math.min(request.maxTokens(), settings.expectedAnswerTokens()),
        service == null ? DEFAULT_LATENCY_TARGET : service.target(),
        request.version(),
        request.adapter(),
        request.preferredDomain().orElse(context.self().domain().name()),
        request.priority(),
        request.excluded());
  }

  private Selection createSelection(
      SelectionRequest request,
      RoutingDecision decision,
      long[] hashes,
      boolean isModel,
      long now) {
    double excessMillis = decision.expectedFirstTokenMillis() - request.remaining().toMillis();
    if (isModel && excessMillis > 0) {
      deadlineRefusals.increment();
      throw ServingException.of(
              ErrorKind.DEADLINE_UNREACHABLE, "the first token is not expected before the deadline")
          .withRetryAfter(Duration.ofMillis((long) Math.ceil(excessMillis)));
    }
    MembershipSnapshot membership = context.membership().get();
    String id = decision.endpoint().profile().id();
    Instance endpoint =
        membership
            .member(id)
            .orElseThrow(
                () ->
                    ServingException.of(ErrorKind.NO_ENDPOINT, "the endpoint chosen has gone")
                        .withRetryAfter(NO_ENDPOINT_RETRY_AFTER))
            .instance();
    if (isModel) {
      telemetry.index().add(hashes, hashes.length, decision.endpoint().slot(), now);
      cachedTokens.increment(decision.cachedTokens());
      uncachedTokens.increment(decision.uncachedTokens());
      if (!decision.meetsTarget()) {
        aboveTarget.increment();
      }
    }
    return new TrackedSelection(endpoint, decision.dispatch(now));
  }

  /** An attempt that counts toward the load of its endpoint until it ends. */
  private final class TrackedSelection implements Selection {
    private final Instance endpoint;
    private final Dispatch dispatch;

    TrackedSelection(Instance endpoint, Dispatch dispatch) {
      this.endpoint = endpoint;
      this.dispatch = dispatch;
    }

    @Override
    public Instance endpoint() {
      return endpoint;
    }

    @Override
    public void recordFirstToken(long cachedTokens) {
      dispatch.recordFirstToken(context.clock().millis());
    }

    @Override
    public void recordCompletion() {
      long now = context.clock().millis();
      dispatch.recordFirstToken(now);
      dispatch.recordEnd(DispatchOutcome.ANSWERED, now);
    }

    @Override
    public void recordFailure(EndpointFailure reason) {
      dispatch.recordEnd(toOutcome(reason), context.clock().millis());
    }

    private static DispatchOutcome toOutcome(EndpointFailure reason) {
      return switch (reason) {
        case REFUSED, UNREACHABLE, SILENT, BROKEN, ERROR -> DispatchOutcome.FAILED;
        case LEFT, CANCELLED -> DispatchOutcome.ABANDONED;
      };
    }
  }
}
