package org.heatherspread.relay.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.admission.LoadShedder;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.relay.caller.ResponseWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One admitted request: selects endpoints, retries failed attempts and ends the request with a
 * response.
 *
 * <p>Invariants: a non-repeatable request is retried only if nothing was sent or the endpoint
 * declared it not executed, and only then does the caller get a status that promises non-execution;
 * a response is forwarded once it is complete, a stream in complete events with consecutive ids;
 * nothing is sent after the response has ended or the caller has disconnected. Confined to its
 * event loop.
 */
final class RelayCall {
  private static final Logger log = LoggerFactory.getLogger(RelayCall.class);

  /** Range of the {@code Retry-After} of refusals. */
  private static final double MIN_RETRY_AFTER_SECONDS = 0.15;

  private static final double MAX_RETRY_AFTER_SECONDS = 0.5;

  /**
   * {@code Retry-After} of streams that cannot be resumed now, the time in which a crashed endpoint
   * starts again.
   */
  static final double RESUMPTION_RETRY_AFTER_SECONDS = 1;

  /** Time before the deadline from which a request is no longer retried. */
  static final long MIN_REMAINING_MILLIS = 10;

  /** Number of refusals by endpoints above which a request is no longer retried. */
  private static final int MAX_REFUSALS = 3;

  /**
   * Number of endpoints that may refuse admission by their limits before a request is refused, as
   * each may cost a call to another daemon.
   */
  private static final int MAX_LIMITED_ENDPOINTS = 8;

  /** Share by which the time to retry of a rejected request is shortened at random. */
  private static final double MAX_RETRY_SPREAD = 0.25;

  /** Number of daemons to which a request may be forwarded one after the other. */
  private static final int MAX_FORWARDS = 3;

  /** Number of endpoints out of reach after which another daemon is tried. */
  private static final int MIN_UNREACHABLE = 2;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RelayState state;
  private final RelayHeaderNames headerNames;
  private final HeaderRewriter headerRewriter;
  private final JoinedContent joinedContent;
  private final CallContext context;
  private final boolean requiresKey;
  private final ResponseWriter responseWriter;
  private final RefusalResponder refusalResponder;
  private final EndpointSelection selection;
  private final CallAdmission admission;
  private final ScheduledFuture<?> deadlineTimer;
  private final Set<String> triedDaemons = new HashSet<>();
  private RunningAttempt currentAttempt;
  private final CallProgress progress;
  private boolean finished;
  private long expectedMillis = -1;

  private RelayCall(
      RelayState state,
      RelayHeaderNames headerNames,
      HeaderRewriter headerRewriter,
      JoinedContent joinedContent,
      CallContext context,
      boolean requiresKey,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    this.state = state;
    this.headerNames = headerNames;
    this.headerRewriter = headerRewriter;
    this.joinedContent = joinedContent;
    this.context = context;
    this.progress = new CallProgress(context.events());
    this.selection = EndpointSelection.create(state, context, progress);
    this.admission = CallAdmission.create(state, context, progress, selection);
    this.requiresKey = requiresKey;
    this.responseWriter = responseWriter;
    this.refusalResponder = refusalResponder;
    this.deadlineTimer =
        state
            .loop()
            .schedule(this::onDeadline, Math.max(0, remainingMillis()), TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a request.
   *
   * @param origin where the first event of a resumed stream came from, empty for other requests
   */
  static void start(
      RelayState state,
      RelayHeaderNames headerNames,
      HeaderRewriter headerRewriter,
      JoinedContent joinedContent,
      CallContext context,
      Optional<StreamOrigin> origin,
      boolean requiresKey,
      ResponseWriter responseWriter,
      RefusalResponder refusalResponder) {
    RelayCall call =
        new RelayCall(
            state,
            headerNames,
            headerRewriter,
            joinedContent,
            context,
            requiresKey,
            responseWriter,
            refusalResponder);
    call.progress.origin = origin.orElse(null);
    state.shutdown().add(call);
    responseWriter.onDisconnect(call::onDisconnect);
    if (call.finished) {
      return;
    }
    if (!call.context.isForwarded()) {
      state.retryBudget(context.service()).onRequest();
    }
    call.selectAndSend();
  }

  void selectAndSend() {
    if (failIfCrashing()) {
      return;
    }
    if (state.isolation().isIsolated()) {
      forwardOrFail(Refusal.ISOLATED);
      return;
    }
    Optional<Choice> choice = selection.choose();
    admission.recordDemand(choice);
    if (choice.isEmpty()) {
      failWithoutEndpoint();
      return;
    }
    if (!admission.mayWait()) {
      if (admission.admits(choice.get())) {
        send(choice.get());
      } else {
        refuseOverloaded(choice.get().expectedMillis());
      }
      return;
    }
    Optional<Choice> withRoom = selection.chooseWithRoom(choice.get(), false);
    if (withRoom.isPresent() && state.waitingCalls().isEmpty(context.service())) {
      send(withRoom.get());
      return;
    }
    state.waitingCalls().offer(this, admission.queuedRequest(choice.get()));
  }

  /** Returns whether the request, which waits, can be dispatched now. */
  boolean canDispatch(boolean late) {
    return state.isolation().isIsolated() || selection.canDispatch(late);
  }

  /** Sends the request, which is no longer queued, to an endpoint that has room. */
  void dispatch(long waitedMillis) {
    progress.waitedMillis += waitedMillis;
    if (failIfCrashing()) {
      return;
    }
    if (state.isolation().isIsolated()) {
      forwardOrFail(Refusal.ISOLATED);
      return;
    }
    Optional<Choice> choice = selection.choose();
    if (choice.isEmpty()) {
      failWithoutEndpoint();
      return;
    }
    send(selection.chooseWithRoom(choice.get(), false).orElse(choice.get()));
  }

  /** Ends the request, which is no longer queued. */
  void onQueueRejection(double waitMillis, double retryMillis) {
    expectedMillis = (long) waitMillis;
    double spread = 1 - MAX_RETRY_SPREAD * state.random().nextDouble();
    fail(Refusal.OVERLOADED, spread * retryMillis / MILLIS_PER_SECOND);
  }

  private void failWithoutEndpoint() {
    if (progress.unreachableCount > 0 && tryForward(Refusal.UNREACHABLE)) {
      return;
    }
    failUnavailable(selection.unavailability(retryAfterSeconds()));
  }

  private void failUnavailable(EndpointSelection.Unavailability unavailability) {
    fail(unavailability.refusal(), unavailability.retryAfterSeconds());
  }

  /** Selects another endpoint, as the limit of one did not admit the request. */
  void onEndpointLimited(TrackedEndpoint endpoint) {
    selection.recordLimited(endpoint);
    progress.limitedCount++;
    if (progress.limitedCount >= MAX_LIMITED_ENDPOINTS) {
      failUnavailable(selection.limitedBy(endpoint, retryAfterSeconds()));
      return;
    }
    selectAndSend();
  }

  /**
   * Ends the request if it is known to crash endpoints, which may have become known since the last
   * attempt. Returns whether it ended.
   */
  boolean failIfCrashing() {
    Optional<Duration> refusal = state.poisonFilter().refusal(context);
    refusal.ifPresent(remaining -> fail(Refusal.CRASHES_ENDPOINTS, seconds(remaining)));
    return refusal.isPresent();
  }

  private static double seconds(Duration duration) {
    return duration.toMillis() / MILLIS_PER_SECOND;
  }

  private void send(Choice choice) {
    if (expectedMillis < 0) {
      expectedMillis = (long) choice.expectedMillis();
    }
    send(choice, null);
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param cacheCopy reference to the KV cache from which a migrated run resumes, null for none
   */
  void send(Choice choice, String cacheCopy) {
    selection.recordTried(choice.endpoint());
    Attempt attempt = new Attempt(this, choice, cacheCopy);
    currentAttempt = attempt;
    attempt.start();
  }

  private void refuseOverloaded(double expectedLatencyMillis) {
    expectedMillis = (long) expectedLatencyMillis;
    int target = context.route().targetMillis();
    double retryAfterSeconds =
        LoadShedder.retryAfterSeconds(expectedLatencyMillis, target, state.random().nextDouble());
    finish(Refusal.OVERLOADED.code(), Refusal.OVERLOADED.status(), "");
    refusalResponder.refuse(Refusal.OVERLOADED, retryAfterSeconds);
  }

  /** Passes the request to another daemon, or ends it with a refusal if there is none. */
  void forwardOrFail(Refusal refusal) {
    if (!tryForward(refusal)) {
      fail(refusal);
    }
  }

  /**
   * Passes the request to another daemon that has a path to the endpoints. A request that was
   * forwarded to this daemon is not passed on. Returns false if no daemon can be tried.
   */
  private boolean tryForward(Refusal refusal) {
    boolean possible =
        !context.isForwarded()
            && !progress.streamStarted
            && triedDaemons.size() < MAX_FORWARDS
            && progress.possibleExecutions < context.maxAttempts()
            && remainingMillis() > MIN_REMAINING_MILLIS;
    Optional<Forwarding.Target> target =
        possible ? state.forwarding().choose(triedDaemons) : Optional.empty();
    if (target.isEmpty()) {
      return false;
    }
    triedDaemons.add(target.get().daemon());
    ForwardedAttempt attempt = new ForwardedAttempt(this, target.get(), refusal);
    currentAttempt = attempt;
    attempt.start();
    return true;
  }

  /**
   * Handles that no connection to an endpoint could be opened: tries another endpoint, or another
   * daemon once it is likely that the network separates this one from the endpoints.
   */
  void onUnreachable() {
    progress.unreachableCount++;
    if (progress.unreachableCount >= MIN_UNREACHABLE && tryForward(Refusal.UNREACHABLE)) {
      return;
    }
    retryOrFail(RetryReason.UNREACHABLE, Refusal.UNREACHABLE);
  }

  /** Retries the request if its route, deadline and retry budget allow, else ends it. */
  void retryOrFail(RetryReason reason, Refusal refusal) {
    boolean timeRemains = remainingMillis() > MIN_REMAINING_MILLIS;
    boolean attemptsRemain =
        progress.possibleExecutions < context.maxAttempts()
            && progress.refusalCount <= MAX_REFUSALS;
    boolean repeatable = progress.possibleExecutions == 0 || context.route().isRepeatable();
    if (!timeRemains || !attemptsRemain || !repeatable || !progress.events.canResume()) {
      fail(refusal);
      return;
    }
    if (progress.sendCount > 0 && !state.retryBudget(context.service()).tryRetry()) {
      state.metrics().recordRetryDenied(context.service());
      fail(refusal);
      return;
    }
    state.metrics().recordRetry(reason.code());
    selectAndSend();
  }

  /** Returns whether another endpoint can take the request over now. */
  boolean canRetryElsewhere() {
    return state.retryBudget(context.service()).allowsRetry() && selection.choose().isPresent();
  }

  long remainingMillis() {
    return context.deadlineMillis() - state.clock().millis();
  }

  void onDeadline() {
    end(Refusal.EXPIRED, Refusal.EXPIRED_UNSENT);
  }

  boolean hasStreamStarted() {
    return progress.streamStarted;
  }

  /** Ends the request as the daemon stops. */
  void onShutdown() {
    end(Refusal.ANSWER_LOST, Refusal.STOPPING);
  }

  /** Ends the request with the refusal that says whether an endpoint may have executed it. */
  private void end(Refusal possiblyExecuted, Refusal notExecuted) {
    if (finished) {
      return;
    }
    RunningAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (attempt != null) {
      attempt.abort();
    }
    fail(progress.possibleExecutions > 0 ? possiblyExecuted : notExecuted);
  }

  private void onDisconnect() {
    if (finished) {
      return;
    }
    RunningAttempt attempt = currentAttempt;
    currentAttempt = null;
    finish("caller-gone", 0, attempt == null ? "" : attempt.endpointId());
    if (attempt != null) {
      attempt.abort();
    }
  }

  void fail(Refusal reason) {
    fail(reason, retryAfterSeconds());
  }

  private void fail(Refusal reason, double retryAfterSeconds) {
    if (finished) {
      return;
    }
    currentAttempt = null;
    if (progress.streamStarted) {
      finish("stream-cut:" + reason.code(), 0, "");
      responseWriter.abort();
      return;
    }
    Refusal reported =
        progress.possibleExecutions > 0 && reason.status() == 503 ? Refusal.ANSWER_LOST : reason;
    finish(reported.code(), reported.status(), "");
    refusalResponder.refuse(reported, reported.status() == 503 ? retryAfterSeconds : 0);
  }

  private double retryAfterSeconds() {
    return MIN_RETRY_AFTER_SECONDS
        + (MAX_RETRY_AFTER_SECONDS - MIN_RETRY_AFTER_SECONDS) * state.random().nextDouble();
  }

  void finish(String outcome, int status, String endpointId) {
    finished = true;
    deadlineTimer.cancel(false);
    state.shutdown().remove(this);
    state.waitingCalls().remove(this);
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("outcome", outcome)
        .addKeyValue("status", status)
        .addKeyValue("route", context.route().name())
        .addKeyValue("service", context.service())
        .addKeyValue("account", context.account())
        .addKeyValue("tokens", context.declaredTokens())
        .addKeyValue("decided_by", refusalResponder.limitDecidedBy())
        .addKeyValue("endpoint", endpointId)
        .addKeyValue("version", progress.origin == null ? "" : progress.origin.version())
        .addKeyValue("sends", progress.sendCount)
        .addKeyValue("first_ms", progress.firstResponseMillis)
        .addKeyValue("expected_ms", expectedMillis)
        .addKeyValue("wait_ms", progress.waitedMillis)
        .addKeyValue("queue_position", progress.queuePosition)
        .addKeyValue("ms", state.clock().millis() - context.request().receivedAtMillis())
        .addKeyValue("resume_after", context.resumeAfter())
        .addKeyValue("last_event", progress.events.lastId())
        .addKeyValue("connection", context.request().connection())
        .addKeyValue("forwarded_by", context.forwardedBy())
        .addKeyValue("config", context.configVersion())
        .log("request ended");
  }

  void countUsage() {
    if (!progress.usageCounted && !context.account().isEmpty()) {
      progress.usageCounted = true;
      state.usage().countRequest(context.account(), state.unixTime().unixMillis());
    }
  }

  boolean isCurrent(RunningAttempt attempt) {
    return !finished && currentAttempt == attempt;
  }

  void onCallerWritable() {
    if (currentAttempt != null) {
      currentAttempt.resumeReading();
    }
  }

  RelayState state() {
    return state;
  }

  EndpointSelection selection() {
    return selection;
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

  JoinedContent joinedContent() {
    return joinedContent;
  }

  boolean requiresKey() {
    return requiresKey;
  }
}
