package org.heatherspread.daemon.plain;

import static org.apache.pekko.http.javadsl.server.Directives.completeWithFuture;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;
import static org.apache.pekko.http.javadsl.server.Directives.extractUnmatchedPath;
import static org.apache.pekko.http.javadsl.server.Directives.pathPrefix;
import static org.apache.pekko.http.javadsl.server.PathMatchers.segment;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.permit.ExecutionPermit;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.IdempotencyKeyClaims;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.BodyReader;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.limit.AdmissionRequest;
import org.heatherspread.daemon.permit.PermitService;
import org.heatherspread.daemon.poison.PoisonFilterComponent;
import org.heatherspread.daemon.record.CallLookup;
import org.heatherspread.daemon.record.CallRunner;
import org.heatherspread.daemon.record.RecordsComponent;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * Serves calls of plain services: {@code ANY /v1/services/{service}/{path}}.
 *
 * <p>Repeatable calls are retried. Others run at most once, under the caller's execution permit,
 * the caller's idempotency key, or an id created by this daemon. Thread-safe.
 */
public final class PlainComponent implements DaemonComponent {
  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);
  private static final long DRAIN_POLL_MILLIS = 50;
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String PERMIT_HEADER = "X-Execution-Permit";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final String DEADLINE_HEADER = "X-Deadline-Ms";
  private static final String DOMAIN_HEADER = "X-Failure-Domain";

  private final DaemonContext context;
  private final PlainSettings settings;
  private final BodyReader bodyReader;
  private final Duration maxDispatchDelay;
  private final CallRunner runner;
  private final CallLookup lookup;
  private final IdempotentCallRunner idempotentRunner;
  private final RetryingDispatcher dispatcher;
  private final PermitService permits;
  private final Admission admission;
  private final AccountAuthenticator auth;
  private final ProblemResponses problems;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicInteger inProgress = new AtomicInteger();

  private PlainComponent(
      DaemonContext context,
      PlainSettings settings,
      Duration maxDispatchDelay,
      RecordsComponent records,
      PermitService permits,
      EndpointSelector selector,
      PoisonFilterComponent poisonFilter,
      Admission admission,
      AccountAuthenticator auth,
      ProblemResponses problems) {
    this.context = context;
    this.settings = settings;
    this.bodyReader =
        BodyReader.create(context.system(), BODY_TIMEOUT).withLimit(settings.maxBodyBytes());
    this.maxDispatchDelay = maxDispatchDelay;
    this.runner = records.runner();
    this.lookup = records.lookup();
    this.idempotentRunner =
        new IdempotentCallRunner(context.store(), runner, lookup, context.meters());
    PlainTransport transport = new PlainTransport(context.system(), settings);
    this.dispatcher =
        new RetryingDispatcher(
            selector, poisonFilter, transport, context.clock(), context.meters());
    this.permits = permits;
    this.admission = admission;
    this.auth = auth;
    this.problems = problems;
    context.meters().gauge("heatherspread.plain.in.progress", inProgress);
  }

  /**
   * Creates the component.
   *
   * @param maxDispatchDelay maximum time from receipt to dispatch of a call without a permit
   */
  public static PlainComponent create(
      DaemonContext context,
      PlainSettings settings,
      Duration maxDispatchDelay,
      RecordsComponent records,
      PermitService permits,
      EndpointSelector selector,
      PoisonFilterComponent poisonFilter,
      Admission admission,
      AccountAuthenticator auth,
      ProblemResponses problems) {
    return new PlainComponent(
        context,
        settings,
        maxDispatchDelay,
        records,
        permits,
        selector,
        poisonFilter,
        admission,
        auth,
        problems);
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        pathPrefix(
            segment("v1").slash("services").slash(segment()),
            service ->
                extractUnmatchedPath(
                    path ->
                        extractRequest(
                            request -> completeWithFuture(serve(service, path, request))))));
  }

  private CompletionStage<HttpResponse> serve(String service, String path, HttpRequest request) {
    inProgress.incrementAndGet();
    return bodyReader
        .read(request)
        .thenCompose(body -> handle(service, path, request, body))
        .handle((response, failure) -> failure == null ? response : problems.toResponse(failure))
        .whenComplete((response, failure) -> inProgress.decrementAndGet());
  }

  private CompletionStage<HttpResponse> handle(
      String service, String path, HttpRequest request, ByteString body) {
    if (draining.get()) {
      throw ServingException.of(ErrorKind.DAEMON_LEAVING, "daemon is stopping");
    }
    AccountSpec account = auth.authenticate(request);
    ServiceSpec spec = findService(service, account);
    PlainCall call = createCall(account, service, path, request, body);
    Admission.Grant grant =
        admission.admit(
            new AdmissionRequest(account, service, 0, 0, account.priority(), call.timeout()));
    StartedCall startedCall;
    try {
      startedCall = startCall(call, spec.repeatable(call.method(), call.path()), request);
    } catch (RuntimeException e) {
      grant.release(0);
      throw e;
    }
    return startedCall
        .response()
        .whenComplete((response, failure) -> grant.release(0))
        .handle((response, failure) -> createResponse(startedCall.id(), response, failure));
  }

  private ServiceSpec findService(String name, AccountSpec account) {
    ServiceSpec spec = context.configuration().get().services().get(name);
    if (spec == null || spec.kind() != ServiceKind.PLAIN) {
      throw ServingException.of(
          ErrorKind.UNKNOWN_SERVICE, "no plain service of this name is configured");
    }
    if (!account.mayCall(name)) {
      throw ServingException.of(
          ErrorKind.FORBIDDEN, "client account is not allowed to call this service");
    }
    return spec;
  }

  private PlainCall createCall(
      AccountSpec account, String service, String path, HttpRequest request, ByteString body) {
    ContentType type = request.entity().getContentType();
    boolean hasContentType = !type.equals(ContentTypes.NO_CONTENT_TYPE) && !body.isEmpty();
    return new PlainCall(
        account,
        service,
        request.method().value(),
        path,
        request.getUri().rawQueryString(),
        hasContentType ? Optional.of(type.toString()) : Optional.empty(),
        HeaderFilter.forwardable(request.getHeaders()),
        body.toArray(),
        header(request, DOMAIN_HEADER),
        parseTimeout(request));
  }

  private Duration parseTimeout(HttpRequest request) {
    Optional<String> value = header(request, DEADLINE_HEADER);
    if (value.isEmpty()) {
      return settings.callTimeout();
    }
    try {
      Duration requested = Duration.ofMillis(Long.parseLong(value.get().trim()));
      if (requested.isNegative() || requested.isZero()) {
        throw new NumberFormatException("not positive");
      }
      return requested.compareTo(settings.maxCallTimeout()) < 0
          ? requested
          : settings.maxCallTimeout();
    } catch (NumberFormatException e) {
      throw ServingException.of(
          ErrorKind.MALFORMED_REQUEST,
          DEADLINE_HEADER + " must be a positive number of milliseconds");
    }
  }

  private static Optional<String> header(HttpRequest request, String name) {
    return request.getHeader(name).map(HttpHeader::value);
  }

  private HttpResponse createResponse(RequestId id, CallResponse response, Throwable failure) {
    if (failure != null) {
      return problems.toResponse(failure, Optional.of(id.toString()));
    }
    return CallResponseConverter.toHttpResponse(response)
        .addHeader(RawHeader.create(REQUEST_ID_HEADER, id.toString()));
  }

  /** A call in progress and its request id. */
  private record StartedCall(RequestId id, CompletableFuture<CallResponse> response) {}

  private StartedCall startCall(PlainCall call, boolean repeatable, HttpRequest request) {
    if (repeatable) {
      RequestId id = permits.createUnwitnessedId();
      return new StartedCall(id, dispatcher.run(call, id.toString(), true));
    }
    Optional<String> permit = header(request, PERMIT_HEADER);
    if (permit.isPresent()) {
      return startPermitted(call, permits.verify(permit.get(), call.account().name()));
    }
    RequestId id = permits.createRequestId();
    CallDescriptor descriptor =
        describe(call, id, context.wallClock().millis() + maxDispatchDelay.toMillis());
    Optional<String> key = header(request, IDEMPOTENCY_KEY_HEADER);
    if (key.isPresent()) {
      var rowKey = IdempotencyKeyClaims.rowKey(call.account().name(), call.service(), key.get());
      return new StartedCall(id, idempotentRunner.run(rowKey, descriptor, dispatchOnce(call, id)));
    }
    return new StartedCall(id, runner.run(descriptor, dispatchOnce(call, id)));
  }

  /** Runs a permitted call if this daemon is its owner; otherwise returns its recorded outcome. */
  private StartedCall startPermitted(PlainCall call, ExecutionPermit permit) {
    CallDescriptor descriptor = describe(call, permit.id(), permit.expiresAtMillis());
    boolean ownedHere =
        permit.id().owner().id().equals(context.self().id())
            && permit.id().owner().incarnation() == context.self().incarnation();
    if (ownedHere) {
      return new StartedCall(permit.id(), runner.run(descriptor, dispatchOnce(call, permit.id())));
    }
    return new StartedCall(
        permit.id(), lookup.resolve(descriptor).thenCompose(CallRunner::toResponse));
  }

  private static CallDescriptor describe(PlainCall call, RequestId id, long expiresAt) {
    return new CallDescriptor(id, call.account().name(), call.digest(), expiresAt);
  }

  private Supplier<CompletableFuture<CallResponse>> dispatchOnce(PlainCall call, RequestId id) {
    return () -> dispatcher.run(call, id.toString(), false);
  }

  @Override
  public CompletableFuture<Void> drain(Duration timeout) {
    draining.set(true);
    CompletableFuture<Void> drained = new CompletableFuture<>();
    awaitIdle(drained);
    return drained.completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void awaitIdle(CompletableFuture<Void> drained) {
    if (drained.isDone()) {
      return;
    }
    if (inProgress.get() == 0) {
      drained.complete(null);
      return;
    }
    CompletableFuture.delayedExecutor(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> awaitIdle(drained));
  }
}
