package org.heatherspread.relay.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.CallKind;
import org.heatherspread.core.serving.Feature;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles requests of callers: finds the route, checks the key, applies the limit of the account
 * and starts a {@link RelayCall}. Confined to the event loop of its state.
 */
public final class RelayHandler implements CallerRequestHandler {
  private static final Logger log = LoggerFactory.getLogger(RelayHandler.class);

  private static final String BEARER = "Bearer ";

  /** {@code Retry-After} while the configuration is missing or too old. */
  private static final double NOT_READY_RETRY_AFTER_SECONDS = 0.3;

  /** {@code Retry-After} of a daemon that stops; another one can serve the request at once. */
  private static final double STOPPING_RETRY_AFTER_SECONDS = 0.05;

  /** Share of the target latency within which callers of new requests return. */
  private static final double NEW_RETRY_SHARE = 0.5;

  /** Share of the remaining time within which callers of resumed streams return. */
  private static final double RESUMED_RETRY_SHARE = 1.0 / 3;

  /**
   * Range of the {@code Retry-After} of bodies that do not fit: about the time of a large upload,
   * spread so that not all return at once.
   */
  private static final double MIN_BUFFERS_RETRY_AFTER_SECONDS = 0.5;

  private static final double MAX_BUFFERS_RETRY_AFTER_SECONDS = 2;

  private static final double MILLIS_PER_SECOND = 1_000;

  private static final Pattern EVENT_ID = Pattern.compile("\\d{1,18}");

  /** Time limit if neither the request nor the route has one. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 15_000;

  private final RelayState state;
  private final RelayHeaderNames headerNames;
  private final HeaderRewriter headerRewriter;
  private final JoinedContent joinedContent;
  private final boolean forDaemons;

  private RelayHandler(RelayState state, RelayHeaderNames headerNames, boolean forDaemons) {
    this.forDaemons = forDaemons;
    this.state = state;
    this.headerNames = headerNames;
    this.headerRewriter = HeaderRewriter.create(headerNames);
    this.joinedContent = JoinedContent.create(headerNames.requestId());
  }

  /** Creates a handler that uses a state. */
  public static RelayHandler create(RelayState state, RelayHeaderNames headerNames) {
    return new RelayHandler(state, headerNames, false);
  }

  /**
   * Creates a handler of requests that other daemons have admitted and forward. They are not
   * counted again and not passed on to further daemons.
   */
  public static RelayHandler createForDaemons(RelayState state, RelayHeaderNames headerNames) {
    return new RelayHandler(state, headerNames, true);
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter responseWriter) {
    String id = Optional.ofNullable(request.headers().get(headerNames.requestId())).orElse("");
    RefusalResponder refusalResponder = new RefusalResponder(state, id, request, responseWriter);
    Optional<ServingConfig> currentConfig = state.config();
    if (currentConfig.isEmpty()) {
      refusalResponder.refuse(Refusal.NOT_READY, NOT_READY_RETRY_AFTER_SECONDS);
      return;
    }
    ServingConfig config = currentConfig.get();
    String host = Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
    Optional<Route> matchedRoute = config.route(host, request.target());
    if (matchedRoute.isEmpty()) {
      refusalResponder.refuse(Refusal.NO_ROUTE, 0);
      return;
    }
    Route route = matchedRoute.get();
    boolean requiresKey = config.hasAccounts() && !route.anonymous();
    Optional<AccountConfig> account = requiresKey ? findAccount(config, request) : Optional.empty();
    if (requiresKey && !state.acceptsKeys()) {
      refusalResponder.refuse(Refusal.KEYS_TOO_OLD, NOT_READY_RETRY_AFTER_SECONDS);
      return;
    }
    if (requiresKey && account.isEmpty()) {
      refusalResponder.refuse(Refusal.UNKNOWN_KEY, 0);
      return;
    }
    if (route.kind() == CallKind.STREAM && !hasValidEventId(request)) {
      refusalResponder.refuse(Refusal.INVALID_EVENT_ID, 0);
      return;
    }
    CallContext context = createContext(id, request, config, route, account);
    if (!state.shutdown().accepts(context.deadlineMillis())) {
      refusalResponder.refuse(Refusal.STOPPING, STOPPING_RETRY_AFTER_SECONDS);
      return;
    }
    if (!resumesStream(context)) {
      admit(context, Optional.empty(), account, responseWriter, refusalResponder);
      return;
    }
    findOrigin(context)
        .thenAccept(
            origin -> {
              Optional<Refusal> refusal = checkOrigin(context, origin);
              if (refusal.isPresent()) {
                refusalResponder.refuse(refusal.get(), RelayCall.RESUMPTION_RETRY_AFTER_SECONDS);
                return;
              }
              CallContext bound = context.withService(origin.get().service());
              admit(bound, origin, account, responseWriter, refusalResponder);
            });
  }

  @Override
  public void refuseBody(CallerRequest head, ResponseWriter responseWriter) {
    String id = head.headers().get(headerNames.requestId(), "");
    double spreadSeconds = MAX_BUFFERS_RETRY_AFTER_SECONDS - MIN_BUFFERS_RETRY_AFTER_SECONDS;
    new RefusalResponder(state, id, head, responseWriter)
        .refuse(
            Refusal.BUFFERS_FULL,
            MIN_BUFFERS_RETRY_AFTER_SECONDS + spreadSeconds * state.random().nextDouble());
  }

  private boolean hasValidEventId(CallerRequest request) {
    String eventId = request.headers().get(headerNames.lastEventId());
    return eventId == null || EVENT_ID.matcher(eventId.trim()).matches();
  }

  private boolean resumesStream(CallContext context) {
    HttpHeaders headers = context.request().headers();
    return context.route().kind() == CallKind.STREAM
        && (headers.contains(headerNames.resumes()) || headers.contains(headerNames.lastEventId()));
  }

  private CompletableFuture<Optional<StreamOrigin>> findOrigin(CallContext context) {
    String attemptId = context.request().headers().get(headerNames.resumes(), "").trim();
    long waitMillis = context.callerDeadlineMillis() - state.clock().millis();
    return state.streamOrigins().find(attemptId, context.service(), Math.max(0, waitMillis));
  }

  private Optional<Refusal> checkOrigin(CallContext context, Optional<StreamOrigin> origin) {
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("resumes", context.request().headers().get(headerNames.resumes()))
        .addKeyValue("service", origin.map(StreamOrigin::service).orElse(""))
        .addKeyValue("version", origin.map(StreamOrigin::version).orElse(""))
        .log(origin.isPresent() ? "stream origin found" : "stream origin unknown");
    if (origin.isEmpty()) {
      return Optional.of(Refusal.STREAM_ORIGIN_UNKNOWN);
    }
    boolean routed =
        context.route().shares().stream()
            .anyMatch(share -> share.service().equals(origin.get().service()));
    return routed ? Optional.empty() : Optional.of(Refusal.STREAM_VERSION_GONE);
  }

  /** Applies the limit of the account, if the route requires a key, and starts the request. */
  private void admit(
      CallContext context,
      Optional<StreamOrigin> origin,
      Optional<AccountConfig> account,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    if (account.isEmpty() || context.isForwarded()) {
      start(context, origin, account.isPresent(), responseWriter, refusalResponder);
      return;
    }
    double amount = limitAmount(account.get(), context);
    double maxRetrySeconds = maxRetrySeconds(context, origin.isPresent());
    state
        .accountAdmission()
        .admit(account.get(), limitRequest(context, amount, maxRetrySeconds))
        .thenAccept(
            decision -> {
              refusalResponder.setLimitDecision(account.get().name(), amount, decision.decidedBy());
              if (decision.waitSeconds().isPresent()) {
                double seconds = decision.waitSeconds().getAsDouble();
                if (!decision.claimed()) {
                  seconds =
                      state
                          .accountRetries()
                          .retryAfterSeconds(
                              account.get(), amount, state.daemonCount(), seconds, maxRetrySeconds);
                }
                refusalResponder.refuse(Refusal.ACCOUNT_LIMIT, seconds);
                return;
              }
              start(context, origin, true, responseWriter, refusalResponder);
            });
  }

  /**
   * Returns the time over which refused callers are spread. New requests should still meet their
   * target; a resumed stream is late already, but its caller has a part of the answer.
   */
  private double maxRetrySeconds(CallContext context, boolean resumed) {
    long remainingMillis = Math.max(0, context.deadlineMillis() - state.clock().millis());
    double millis =
        resumed
            ? RESUMED_RETRY_SHARE * remainingMillis
            : NEW_RETRY_SHARE * context.route().targetMillis();
    return millis / MILLIS_PER_SECOND;
  }

  /**
   * Returns the request to the limit; tokens are kept no longer than callers wait. A request that
   * states no tokens has no urgency there, as it takes little of a limit on tokens.
   */
  private LimitRequest limitRequest(CallContext context, double amount, double maxRetrySeconds) {
    if (!state.hasFeature(Feature.QUEUEING) || context.declaredTokens() <= 0) {
      return LimitRequest.of(amount);
    }
    long remainingMillis = Math.max(0, context.deadlineMillis() - state.clock().millis());
    double honouredSeconds = RESUMED_RETRY_SHARE * remainingMillis / MILLIS_PER_SECOND;
    return new LimitRequest(
        amount, OptionalInt.of(context.urgency()), Math.min(maxRetrySeconds, honouredSeconds));
  }

  private void start(
      CallContext context,
      Optional<StreamOrigin> origin,
      boolean requiresKey,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    RelayCall.start(
        state,
        headerNames,
        headerRewriter,
        joinedContent,
        context,
        origin,
        requiresKey,
        responseWriter,
        refusalResponder);
  }

  private static Optional<AccountConfig> findAccount(ServingConfig config, CallerRequest request) {
    String value = request.headers().get(HttpHeaderNames.AUTHORIZATION);
    if (value == null || !value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      return Optional.empty();
    }
    return config.account(value.substring(BEARER.length()).trim());
  }

  private CallContext createContext(
      String id,
      CallerRequest request,
      ServingConfig config,
      Route route,
      Optional<AccountConfig> account) {
    HttpHeaders headers = request.headers();
    Workload work =
        PromptHeaderParser.parseWorkload(
            headers.get(headerNames.tokenCounts()), headers.get(headerNames.promptSegments()));
    int expectedAnswerTokens =
        state.answerLengths().expectedTokens(route.name(), work.answerTokens());
    int urgency = route.priority();
    if (account.isPresent() && account.get().priority() >= 0) {
      urgency = account.get().priority();
    }
    long requestedMillis = parseMillis(headers.get(headerNames.deadline()));
    String accountName = account.map(AccountConfig::name).orElse("");
    return new CallContext(
        id,
        request,
        route,
        route.selectService(state.random().nextDouble()),
        accountName,
        CallSuspects.of(request, accountName, work),
        new Workload(work.segments(), work.promptTokens(), expectedAnswerTokens),
        work.promptTokens() + work.answerTokens(),
        urgency,
        request.receivedAtMillis() + timeoutMillis(requestedMillis, route),
        requestedMillis == Long.MAX_VALUE
            ? Long.MAX_VALUE
            : request.receivedAtMillis() + requestedMillis,
        resumeAfter(request, route),
        config.version(),
        forDaemons ? headers.get(ForwardedRequests.FORWARDED_BY, "") : "",
        forDaemons
            ? ForwardedRequests.remainingAttempts(headers, route.maxAttempts())
            : route.maxAttempts());
  }

  private long resumeAfter(CallerRequest request, Route route) {
    String eventId = request.headers().get(headerNames.lastEventId());
    return route.kind() != CallKind.STREAM || eventId == null ? -1 : Long.parseLong(eventId.trim());
  }

  private static long timeoutMillis(long requestedMillis, Route route) {
    long routeMillis = route.timeoutMillis() > 0 ? route.timeoutMillis() : Long.MAX_VALUE;
    long timeoutMillis = Math.min(routeMillis, requestedMillis);
    return timeoutMillis == Long.MAX_VALUE ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
  }

  private static long parseMillis(String header) {
    if (header == null) {
      return Long.MAX_VALUE;
    }
    try {
      return Math.max(0, (long) Double.parseDouble(header.trim()));
    } catch (NumberFormatException e) {
      // Ignores an invalid header, so that the time limit of the route applies.
      return Long.MAX_VALUE;
    }
  }

  private static double limitAmount(AccountConfig account, CallContext context) {
    if (!account.countsTokens()) {
      return 1;
    }
    return context.declaredTokens() > 0 ? context.declaredTokens() : account.defaultTokens();
  }
}
