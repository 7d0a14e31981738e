package org.heatherspread.relay.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.admission.LoadShedder;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.EnginePerformance;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.relay.caller.ResponseWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of one request after it was let in: it is sent to an endpoint, perhaps to further ones,
 * and its answer is passed on.
 *
 * <p>Invariants: a request that may not be repeated is sent again only if the endpoint stated that
 * it has not run, or nothing was sent; a status that promises "not run" is given only then; whole
 * answers are passed on when complete, streams in whole events with rising ids; after the answer,
 * or once the caller has left, nothing is sent any more. Confined to its event loop.
 */
final class RelayCall {
  private static final Logger log = LoggerFactory.getLogger(RelayCall.class);

  /** Shortest and longest time after which refused callers should come back, in seconds. */
  private static final double MIN_RETRY_SECONDS = 0.15;

  private static final double MAX_RETRY_SECONDS = 0.5;

  /** Time before its deadline below which a request is not sent again. */
  static final long MIN_REMAINING_MILLIS = 10;

  /** Most endpoints that may refuse a request before the caller is told to come back. */
  private static final int MAX_REFUSALS = 3;

  private static final EnginePerformance PERFORMANCE = EnginePerformance.defaults();

  /** Requests in a full batch where no endpoint is known. */
  private static final int DEFAULT_SLOTS = 24;

  private final RelayState state;
  private final RelayHeaderNames headerNames;
  private final HeaderRewriter headerRewriter;
  private final CallContext context;
  private final boolean needsKey;
  private final ResponseWriter responseWriter;
  private final RefusalResponder refusalResponder;
  private final Set<String> triedEndpoints = new HashSet<>();
  private final ScheduledFuture<?> deadlineTimer;
  private Attempt current;
  private final CallProgress progress = new CallProgress();
  private boolean done;
  private boolean demandRecorded;
  private long expectedMillis = -1;

  private RelayCall(
      RelayState state,
      RelayHeaderNames headerNames,
      HeaderRewriter headerRewriter,
      CallContext context,
      boolean needsKey,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    this.state = state;
    this.headerNames = headerNames;
    this.headerRewriter = headerRewriter;
    this.context = context;
    this.needsKey = needsKey;
    this.responseWriter = responseWriter;
    this.refusalResponder = refusalResponder;
    this.deadlineTimer =
        state
            .loop()
            .schedule(this::onDeadline, Math.max(0, remainingMillis()), TimeUnit.MILLISECONDS);
  }

  static void start(
      RelayState state,
      RelayHeaderNames headerNames,
      HeaderRewriter headerRewriter,
      CallContext context,
      boolean needsKey,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    RelayCall call =
        new RelayCall(
            state,
            headerNames,
            headerRewriter,
            context,
            needsKey,
            responseWriter,
            refusalResponder);
    responseWriter.onDisconnect(call::onDisconnect);
    if (state.poisonFilter().isPoisoned(context)) {
      call.fail(Refusal.CRASHES_ENDPOINTS);
      return;
    }
    state.retryBudget(context.service()).onRequest();
    call.selectAndSend();
  }

  // ---------------------------------------------------------------------------------------------
  // Sending
  // ---------------------------------------------------------------------------------------------

  void selectAndSend() {
    long now = state.clock().millis();
    Optional<Choice> choice =
        state
            .chooser(context.service())
            .choose(
                state.endpoints().forService(context.service()),
                context.work(),
                triedEndpoints,
                now,
                state.random());
    recordDemand(choice);
    if (choice.isEmpty()) {
      fail(progress.refusalCount > 0 ? Refusal.REFUSED_BY_ENDPOINTS : Refusal.NO_ENDPOINT);
      return;
    }
    double expected = choice.get().expectedMillis();
    boolean first = progress.sendCount == 0 && progress.refusalCount == 0;
    if (first && isEngineRequest() && !admits(expected)) {
      refuseOverloaded(expected);
      return;
    }
    if (expectedMillis < 0) {
      expectedMillis = (long) expected;
    }
    send(choice.get(), null);
  }

  /** Counts the work that the request asks for, once, whether or not it is let in. */
  private void recordDemand(Optional<Choice> choice) {
    if (demandRecorded || !isEngineRequest()) {
      return;
    }
    demandRecorded = true;
    Workload work = context.work();
    int cached = choice.map(found -> found.endpoint().cachedTokens(work)).orElse(0);
    int uncached = Math.max(0, work.promptTokens() - cached);
    int slots = choice.map(found -> found.endpoint().registration().slots()).orElse(DEFAULT_SLOTS);
    double millis =
        PERFORMANCE.workMillis(work.promptTokens(), uncached, work.answerTokens(), slots);
    state.addWork(context.service(), millis);
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param copy memory that the run goes on from, null for none
   */
  void send(Choice choice, String cacheCopy) {
    current = new Attempt(this, choice, cacheCopy);
    TrackedEndpoint endpoint = choice.endpoint();
    triedEndpoints.add(endpoint.id());
    int limit = state.connectionLimit(context.service());
    state.connectionPool().acquire(endpoint.registration().address(), limit, current);
  }

  private boolean isEngineRequest() {
    return context.work().promptTokens() > 0;
  }

  private boolean admits(double expectedMillis) {
    return LoadShedder.admits(expectedMillis, context.route().targetMillis(), context.urgency());
  }

  private void refuseOverloaded(double expected) {
    expectedMillis = (long) expected;
    int target = context.route().targetMillis();
    double retryAfterSeconds =
        LoadShedder.retryAfterSeconds(expected, target, state.random().nextDouble());
    finish(Refusal.OVERLOADED.code(), Refusal.OVERLOADED.status(), "");
    refusalResponder.refuse(Refusal.OVERLOADED, retryAfterSeconds);
  }

  /** Sends the request once more, if that is allowed; else ends it. */
  void retryOrFail(RetryReason reason, Refusal otherwise) {
    boolean timeRemains = remainingMillis() > MIN_REMAINING_MILLIS;
    boolean attemptsRemain =
        progress.possibleExecutions < context.route().maxAttempts()
            && progress.refusalCount <= MAX_REFUSALS;
    boolean repeatable = progress.possibleExecutions == 0 || context.route().repeatable();
    if (!timeRemains || !attemptsRemain || !repeatable) {
      fail(otherwise);
      return;
    }
    if (progress.sendCount > 0 && !state.retryBudget(context.service()).tryRepeat()) {
      state.metrics().recordRetryDenied(context.service());
      fail(otherwise);
      return;
    }
    state.metrics().recordRetry(reason.code());
    selectAndSend();
  }

  long remainingMillis() {
    return context.deadlineMillis() - state.clock().millis();
  }

  // ---------------------------------------------------------------------------------------------
  // Ending
  // ---------------------------------------------------------------------------------------------

  void onDeadline() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    if (last != null) {
      last.abort();
    }
    fail(progress.possibleExecutions > 0 ? Refusal.EXPIRED : Refusal.EXPIRED_UNSENT);
  }

  private void onDisconnect() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    finish("caller-gone", 0, last == null ? "" : last.endpointId());
    if (last != null) {
      last.abort();
    }
  }

  void fail(Refusal reason) {
    if (done) {
      return;
    }
    current = null;
    if (progress.streamStarted) {
      finish("stream-cut:" + reason.code(), 0, "");
      responseWriter.abort();
      return;
    }
    Refusal reported =
        progress.possibleExecutions > 0 && reason.status() == 503 ? Refusal.ANSWER_LOST : reason;
    finish(reported.code(), reported.status(), "");
    refusalResponder.refuse(reported, reported.status() == 503 ? retryAfterSeconds() : 0);
  }

  private double retryAfterSeconds() {
    return MIN_RETRY_SECONDS
        + (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS) * state.random().nextDouble();
  }

  void finish(String outcome, int status, String endpoint) {
    done = true;
    deadlineTimer.cancel(false);
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("outcome", outcome)
        .addKeyValue("status", status)
        .addKeyValue("route", context.route().name())
        .addKeyValue("service", context.service())
        .addKeyValue("account", context.account())
        .addKeyValue("tokens", context.declaredTokens())
        .addKeyValue("endpoint", endpoint)
        .addKeyValue("sends", progress.sendCount)
        .addKeyValue("first_ms", progress.firstResponseMillis)
        .addKeyValue("expected_ms", expectedMillis)
        .addKeyValue("ms", state.clock().millis() - context.request().receivedAtMillis())
        .addKeyValue("last_event", progress.lastEventId)
        .addKeyValue("config", context.configVersion())
        .log("request ended");
  }

  void countUsage() {
    if (!progress.usageCounted && !context.account().isEmpty()) {
      progress.usageCounted = true;
      state.usage().began(context.account(), state.unixTime().unixMillis());
    }
  }

  // ---------------------------------------------------------------------------------------------
  // What attempts need
  // ---------------------------------------------------------------------------------------------

  boolean isCurrent(Attempt attempt) {
    return !done && current == attempt;
  }

  void onCallerWritable() {
    if (current != null) {
      current.resumeReading();
    }
  }

  RelayState state() {
    return state;
  }

  CallContext context() {
    return context;
  }

  CallProgress progress() {
    return progress;
  }

  ResponseWriter responseWriter() {
    return responseWriter;
  }

  RelayHeaderNames headerNames() {
    return headerNames;
  }

  HeaderRewriter headerRewriter() {
    return headerRewriter;
  }

  boolean needsKey() {
    return needsKey;
  }
}
