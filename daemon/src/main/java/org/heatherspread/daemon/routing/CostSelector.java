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
 * Chooses endpoints by expected cost for models, and by load for plain services.
 *
 * <p>Safe for use by any thread; nothing here blocks or leaves the process.
 */
public final class CostSelector implements EndpointSelector {
  private static final Duration NO_ENDPOINT_DELAY = Duration.ofSeconds(1);
  private static final int MOST_PEERS = 8;
  private static final LatencyTarget DEFAULT_TARGET =
      new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33));
  private static final long[] NO_HASHES = new long[0];

  private final DaemonContext context;
  private final RoutingSettings settings;
  private final EndpointTelemetry telemetry;
  private final RoutingWeights weights;
  private final HealthPolicy health = HealthPolicy.defaults();
  private final CostRouter models;
  private final LeastLoadedRouter plain;
  private final Counter cached;
  private final Counter uncached;
  private final Counter overTarget;
  private final Counter noEndpoint;
  private final Counter unreachable;

  private CostSelector(
      DaemonContext context, RoutingSettings settings, EndpointTelemetry telemetry) {
    this.context = context;
    this.settings = settings;
    this.telemetry = telemetry;
    this.weights = settings.weights();
    this.models = CostRouter.create(weights, health, telemetry.index());
    this.plain = LeastLoadedRouter.create(weights.withPeerFactor(1), health);
    MeterRegistry meters = context.meters();
    this.cached = meters.counter("heatherspread.routing.prompt.tokens", "cache", "hit");
    this.uncached = meters.counter("heatherspread.routing.prompt.tokens", "cache", "miss");
    this.overTarget = meters.counter("heatherspread.routing.over.target");
    this.noEndpoint = refusals(meters, ErrorKind.NO_ENDPOINT);
    this.unreachable = refusals(meters, ErrorKind.DEADLINE_UNREACHABLE);
  }

  private static Counter refusals(MeterRegistry meters, ErrorKind kind) {
    return meters.counter("heatherspread.routing.refusals", "kind", kind.code());
  }

  /** Creates a selector over the telemetry's view. */
  public static CostSelector create(
      DaemonContext context, RoutingSettings settings, EndpointTelemetry telemetry) {
    return new CostSelector(context, settings, telemetry);
  }

  @Override
  public Selection select(RouteRequest request) {
    ServiceSpec service = context.configuration().get().services().get(request.service());
    boolean model = service == null || service.kind() == ServiceKind.MODEL;
    long[] hashes = model ? PrefixHashes.of(request.prompt()) : NO_HASHES;
    RoutingRequest wanted = wanted(request, service, hashes);
    long now = context.clock().millis();
    Optional<RoutingDecision> decision = choose(request, wanted, model, now);
    if (decision.filter(this::takesNewWork).isEmpty()) {
      telemetry.refresh();
      decision = choose(request, wanted, model, now).filter(this::takesNewWork);
    }
    if (decision.isEmpty()) {
      noEndpoint.increment();
      throw ServingException.of(
              ErrorKind.NO_ENDPOINT, "no live endpoint serves " + request.service())
          .withRetryAfter(NO_ENDPOINT_DELAY);
    }
    return open(request, decision.get(), hashes, model, now);
  }

  /** Asks the latest membership, since the view was made up to a round ago. */
  private boolean takesNewWork(RoutingDecision decision) {
    String id = decision.endpoint().profile().id();
    return context.membership().get().member(id).map(Member::takesNewWork).orElse(false);
  }

  private Optional<RoutingDecision> choose(
      RouteRequest request, RoutingRequest wanted, boolean model, long now) {
    RoutingSnapshot snapshot = telemetry.snapshot(request.service());
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (!model) {
      return plain.choose(snapshot, wanted, now, random);
    }
    double peers = Math.min(MOST_PEERS, telemetry.regionDaemonCount());
    return models.withWeights(weights.withPeerFactor(peers)).choose(snapshot, wanted, now, random);
  }

  private RoutingRequest wanted(RouteRequest request, ServiceSpec service, long[] hashes) {
    return new RoutingRequest(
        hashes,
        PrefixHashes.estimateTokens(request.prompt().length),
        Math.min(request.maxTokens(), settings.expectedAnswerTokens()),
        service == null ? DEFAULT_TARGET : service.target(),
        request.version(),
        request.adapter(),
        request.preferredDomain().orElse(context.self().domain().name()),
        request.priority(),
        request.excluded());
  }

  private Selection open(
      RouteRequest request, RoutingDecision decision, long[] hashes, boolean model, long now) {
    double late = decision.expectedFirstTokenMillis() - request.remaining().toMillis();
    if (model && late > 0) {
      unreachable.increment();
      throw ServingException.of(
              ErrorKind.DEADLINE_UNREACHABLE, "the first token is not expected before the deadline")
          .withRetryAfter(Duration.ofMillis((long) Math.ceil(late)));
    }
    MembershipSnapshot membership = context.membership().get();
    String id = decision.endpoint().profile().id();
    Instance endpoint =
        membership
            .member(id)
            .orElseThrow(
                () ->
                    ServingException.of(ErrorKind.NO_ENDPOINT, "the endpoint chosen has gone")
                        .withRetryAfter(NO_ENDPOINT_DELAY))
            .instance();
    if (model) {
      telemetry.index().add(hashes, hashes.length, decision.endpoint().slot(), now);
      cached.increment(decision.cachedTokens());
      uncached.increment(decision.uncachedTokens());
      if (!decision.meetsTarget()) {
        overTarget.increment();
      }
    }
    return new Open(endpoint, decision.dispatch(now));
  }

  /** One attempt that is counted at its endpoint until it ends. */
  private final class Open implements Selection {
    private final Instance endpoint;
    private final Dispatch dispatch;

    Open(Instance endpoint, Dispatch dispatch) {
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
      dispatch.recordEnd(end(reason), context.clock().millis());
    }

    private static DispatchOutcome end(EndpointFailure reason) {
      return switch (reason) {
        case REFUSED, UNREACHABLE, SILENT, BROKEN, ERROR -> DispatchOutcome.FAILED;
        case LEFT, CANCELLED -> DispatchOutcome.ABANDONED;
      };
    }
  }
}
