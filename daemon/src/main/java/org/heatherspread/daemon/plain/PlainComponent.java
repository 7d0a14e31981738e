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
import org.heatherspread.daemon.http.AccountAuth;
import org.heatherspread.daemon.http.BodyReader;
import org.heatherspread.daemon.http.ProblemAnswers;
import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.limit.AdmissionRequest;
import org.heatherspread.daemon.permit.PermitDesk;
import org.heatherspread.daemon.poison.PoisonGuard;
import org.heatherspread.daemon.record.CallLookup;
import org.heatherspread.daemon.record.CallRunner;
import org.heatherspread.daemon.record.RecordsComponent;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * Calls of plain services: {@code ANY /v1/services/{service}/{path}}. Repeatable calls are retried;
 * others run at most once, under the caller's permit, the caller's idempotency key, or an id made
 * here.
 *
 * <p>Safe for use by any thread.
 */
public final class PlainComponent implements DaemonComponent {
  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);
  private static final long DRAIN_POLL_MILLIS = 50;
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String PERMIT = "X-Execution-Permit";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String DEADLINE = "X-Deadline-Ms";
  private static final String DOMAIN = "X-Failure-Domain";

  private final DaemonContext context;
  private final PlainSettings settings;
  private final BodyReader bodies;
  private final Duration maxDispatchDelay;
  private final CallRunner runner;
  private final CallLookup lookup;
  private final IdempotentCallRunner keyed;
  private final RetryingDispatcher attempts;
  private final PermitDesk permits;
  private final Admission admission;
  private final AccountAuth auth;
  private final ProblemAnswers problems;
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicInteger inProgress = new AtomicInteger();

  private PlainComponent(
      DaemonContext context,
      PlainSettings settings,
      Duration maxDispatchDelay,
      RecordsComponent records,
      PermitDesk permits,
      EndpointSelector selector,
      PoisonGuard guard,
      Admission admission,
      AccountAuth auth,
      ProblemAnswers problems) {
    this.context = context;
    this.settings = settings;
    this.bodies =
        BodyReader.create(context.system(), BODY_TIMEOUT).withLimit(settings.maxBodyBytes());
    this.maxDispatchDelay = maxDispatchDelay;
    this.runner = records.runner();
    this.lookup = records.lookup();
    this.keyed = new IdempotentCallRunner(context.store(), runner, lookup, context.meters());
    PlainTransport transport = new PlainTransport(context.system(), settings);
    this.attempts =
        new RetryingDispatcher(selector, guard, transport, context.clock(), context.meters());
    this.permits = permits;
    this.admission = admission;
    this.auth = auth;
    this.problems = problems;
    context.meters().gauge("heatherspread.plain.in.progress", inProgress);
  }

  /**
   * Creates the component.
   *
   * @param maxDispatchDelay how long a call without a permit may take until it is dispatched
   */
  public static PlainComponent create(
      DaemonContext context,
      PlainSettings settings,
      Duration maxDispatchDelay,
      RecordsComponent records,
      PermitDesk permits,
      EndpointSelector selector,
      PoisonGuard guard,
      Admission admission,
      AccountAuth auth,
      ProblemAnswers problems) {
    return new PlainComponent(
        context,
        settings,
        maxDispatchDelay,
        records,
        permits,
        selector,
        guard,
        admission,
        auth,
        problems);
  }

  // ---- HTTP ----

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
    return bodies
        .read(request)
        .thenCompose(body -> run(service, path, request, body))
        .handle((response, failure) -> failure == null ? response : problems.answer(failure))
        .whenComplete((response, failure) -> inProgress.decrementAndGet());
  }

  private CompletionStage<HttpResponse> run(
      String service, String path, HttpRequest request, ByteString body) {
    if (draining.get()) {
      throw ServingException.of(ErrorKind.DAEMON_LEAVING, "this daemon is stopping");
    }
    AccountSpec account = auth.authenticate(request);
    ServiceSpec spec = service(service, account);
    PlainCall call = call(account, service, path, request, body);
    Admission.Grant grant =
        admission.admit(
            new AdmissionRequest(account, service, 0, 0, account.priority(), call.timeout()));
    Started started;
    try {
      started = start(call, spec.repeatable(call.method(), call.path()), request);
    } catch (RuntimeException e) {
      grant.release(0);
      throw e;
    }
    return started
        .answer()
        .whenComplete((answer, failure) -> grant.release(0))
        .handle((answer, failure) -> response(started.id(), answer, failure));
  }

  private ServiceSpec service(String name, AccountSpec account) {
    ServiceSpec spec = context.configuration().get().services().get(name);
    if (spec == null || spec.kind() != ServiceKind.PLAIN) {
      throw ServingException.of(ErrorKind.UNKNOWN_SERVICE, "no plain service has this name");
    }
    if (!account.mayCall(name)) {
      throw ServingException.of(ErrorKind.FORBIDDEN, "the account may not call this service");
    }
    return spec;
  }

  private PlainCall call(
      AccountSpec account, String service, String path, HttpRequest request, ByteString body) {
    ContentType type = request.entity().getContentType();
    boolean typed = !type.equals(ContentTypes.NO_CONTENT_TYPE) && !body.isEmpty();
    return new PlainCall(
        account,
        service,
        request.method().value(),
        path,
        request.getUri().rawQueryString(),
        typed ? Optional.of(type.toString()) : Optional.empty(),
        HeaderFilter.forwardable(request.getHeaders()),
        body.toArray(),
        header(request, DOMAIN),
        timeout(request));
  }

  private Duration timeout(HttpRequest request) {
    Optional<String> text = header(request, DEADLINE);
    if (text.isEmpty()) {
      return settings.callTimeout();
    }
    try {
      Duration asked = Duration.ofMillis(Long.parseLong(text.get().trim()));
      if (asked.isNegative() || asked.isZero()) {
        throw new NumberFormatException("not positive");
      }
      return asked.compareTo(settings.maxCallTimeout()) < 0 ? asked : settings.maxCallTimeout();
    } catch (NumberFormatException e) {
      throw ServingException.of(
          ErrorKind.MALFORMED_REQUEST, DEADLINE + " must be a positive number of milliseconds");
    }
  }

  private static Optional<String> header(HttpRequest request, String name) {
    return request.getHeader(name).map(HttpHeader::value);
  }

  private HttpResponse response(RequestId id, CallResponse answer, Throwable failure) {
    if (failure != null) {
      return problems.answer(failure, Optional.of(id.toString()));
    }
    return CallResponseConverter.toHttpResponse(answer)
        .addHeader(RawHeader.create(REQUEST_ID, id.toString()));
  }

  // ---- The four ways to run a call ----

  /** A call under way and the id it has. */
  private record Started(RequestId id, CompletableFuture<CallResponse> answer) {}

  private Started start(PlainCall call, boolean repeatable, HttpRequest request) {
    if (repeatable) {
      RequestId id = permits.repeatableId();
      return new Started(id, attempts.run(call, id.toString(), true));
    }
    Optional<String> permit = header(request, PERMIT);
    if (permit.isPresent()) {
      return permitted(call, permits.check(permit.get(), call.account().name()));
    }
    RequestId id = permits.ownId();
    CallDescriptor draft =
        draft(call, id, context.wallClock().millis() + maxDispatchDelay.toMillis());
    Optional<String> key = header(request, IDEMPOTENCY_KEY);
    if (key.isPresent()) {
      var row = IdempotencyKeyClaims.rowKey(call.account().name(), call.service(), key.get());
      return new Started(id, keyed.run(row, draft, once(call, id)));
    }
    return new Started(id, runner.run(draft, once(call, id)));
  }

  /** Runs a permitted call if this daemon is its owner, else answers for the owner. */
  private Started permitted(PlainCall call, ExecutionPermit permit) {
    CallDescriptor draft = draft(call, permit.id(), permit.expiresAtMillis());
    boolean own =
        permit.id().owner().id().equals(context.self().id())
            && permit.id().owner().incarnation() == context.self().incarnation();
    if (own) {
      return new Started(permit.id(), runner.run(draft, once(call, permit.id())));
    }
    return new Started(permit.id(), lookup.resolve(draft).thenCompose(CallRunner::toResponse));
  }

  private static CallDescriptor draft(PlainCall call, RequestId id, long expiresAt) {
    return new CallDescriptor(id, call.account().name(), call.digest(), expiresAt);
  }

  private Supplier<CompletableFuture<CallResponse>> once(PlainCall call, RequestId id) {
    return () -> attempts.run(call, id.toString(), false);
  }

  // ---- Stop ----

  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    draining.set(true);
    CompletableFuture<Void> done = new CompletableFuture<>();
    awaitIdle(done);
    return done.completeOnTimeout(null, bound.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void awaitIdle(CompletableFuture<Void> done) {
    if (done.isDone()) {
      return;
    }
    if (inProgress.get() == 0) {
      done.complete(null);
      return;
    }
    CompletableFuture.delayedExecutor(DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> awaitIdle(done));
  }
}
