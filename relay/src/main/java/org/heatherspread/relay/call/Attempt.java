package org.heatherspread.relay.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.EnginePerformanceEstimator;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.rollout.VersionMeter;
import org.heatherspread.core.serving.CallKind;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.stream.EventSplitter;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.relay.buffer.BufferBudget;
import org.heatherspread.relay.caller.ResponseWriter;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.EndpointConnection;
import org.heatherspread.relay.endpoint.ResponseListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to run a request at an endpoint, with its response, its timeouts and its migration to
 * another endpoint. {@link RelayCall} decides on retries and on the outcome of the request.
 *
 * <p>Invariant: forwards nothing once it is closed or no longer the call's current attempt.
 * Confined to its event loop.
 */
final class Attempt
    implements RunningAttempt,
        ConnectionPool.ConnectionListener,
        ResponseListener,
        RelayState.MigratableStream,
        BufferBudget.Holder {
  private static final Logger log = LoggerFactory.getLogger(Attempt.class);

  static final int MAX_EVENT_BYTES = 1 << 18;

  static final int MAX_BODY_BYTES = 8 << 20;

  /** Maximum number of reads of a body, which cost time however few bytes they bring. */
  private static final int MAX_BODY_READS = 1 << 16;

  private static final int MISDIRECTED_REQUEST = 421;

  /**
   * Number of events that prove that an endpoint is writing the answer: it may send one before it
   * crashes.
   */
  private static final int EVENTS_OF_BEGUN_ANSWER = 2;

  /** Time without data from an endpoint for any request, after which a stream is retried. */
  private static final long ENDPOINT_SILENCE_MILLIS = 1_300;

  /**
   * Time without data for a stream, while the endpoint serves others, after which it is retried.
   * Slightly shorter than the timeout of callers.
   */
  private static final long STREAM_STALL_MILLIS = 2_600;

  /** Minimum time without a response after which an idempotent request is retried. */
  private static final long MIN_RESPONSE_SILENCE_MILLIS = 150;

  /** Share of the remaining time after which an idempotent request is retried. */
  private static final double RESPONSE_SILENCE_SHARE = 0.4;

  /** Steps of logged ratios. */
  private static final double LOGGED_STEPS = 100;

  private final RelayCall call;
  private final RelayState state;
  private final CallContext context;
  private final CallProgress progress;
  private final ResponseWriter responseWriter;
  private final TrackedEndpoint endpoint;
  private final double baseLatencyMillis;
  private final String cacheCopy;
  private TrackedEndpoint.TrackedRequest trackedRequest;
  private VersionMeter.Trial trial;
  private EndpointConnection connection;
  private ScheduledFuture<?> silenceTimer;
  private HttpHeaders headers;
  private int status;
  private boolean notExecuted;
  private boolean delimitedByClose;
  private boolean streaming;
  private EventSplitter splitter;
  private ByteArrayOutputStream body;

  /** Last bytes of the body, as many as show whether it ends within a head. */
  private byte[] bodyEnd = {};

  private int bodyReads;
  private final EndpointLoad loadBefore;
  private final int cachedTokens;
  private long sentMillis;
  private long firstEventMillis;
  private long lastProgressMillis;
  private int eventCount;
  private boolean closed;
  private boolean migrating;
  private boolean admitted;
  private String failureDuringMigration;

  /**
   * Creates an attempt that is not started.
   *
   * @param cacheCopy reference to the KV cache from which a migrated run resumes, null for none;
   *     the limit of the endpoint, if it has one, admitted the migration before the run was stopped
   */
  Attempt(RelayCall call, Choice choice, String cacheCopy) {
    this.call = call;
    this.state = call.state();
    this.context = call.context();
    this.progress = call.progress();
    this.responseWriter = call.responseWriter();
    this.cacheCopy = cacheCopy;
    this.admitted = cacheCopy != null;
    this.endpoint = choice.endpoint();
    this.baseLatencyMillis = choice.baseMillis();
    this.loadBefore = endpoint.load();
    this.cachedTokens = endpoint.cachedTokens(context.work());
    this.trackedRequest = endpoint.startRequest(context.work());
    this.trial = state.versionRouting().meter().uncounted();
  }

  /** Sends the request once the limit of the endpoint, if it has one, admits it. */
  void start() {
    if (isAwaitingAdmission()) {
      requestAdmission();
    } else {
      acquireConnection();
    }
  }

  private boolean isAwaitingAdmission() {
    return !admitted && state.endpointLimits().isLimited(endpoint);
  }

  private void requestAdmission() {
    state.endpointLimits().admit(endpoint).thenAccept(this::onAdmissionDecided);
  }

  private void onAdmissionDecided(boolean admits) {
    if (!isActive()) {
      close();
      return;
    }
    if (admits) {
      admitted = true;
      acquireConnection();
      return;
    }
    close();
    logOutcome("not-admitted", "limit of the endpoint");
    call.onEndpointLimited(endpoint);
  }

  private void acquireConnection() {
    int maxConnections = state.connectionLimit(context.service());
    HostPort address = endpoint.registration().address();
    state.connectionPool().acquire(address, requestId(), maxConnections, this);
  }

  private String requestId() {
    return context.id().isEmpty() ? null : context.id();
  }

  @Override
  public String endpointId() {
    return endpoint.id();
  }

  private boolean isActive() {
    return call.isCurrent(this) && !closed;
  }

  @Override
  public void onConnected(EndpointConnection acquired) {
    long now = state.clock().millis();
    if (!isActive()) {
      close();
      acquired.releaseUnused();
      return;
    }
    boolean expired = call.remainingMillis() <= 0;
    if (expired || !endpoint.acceptsRequests(now) || (call.requiresKey() && !state.acceptsKeys())) {
      close();
      acquired.releaseUnused();
      if (expired) {
        call.onDeadline();
      } else if (call.requiresKey() && !state.acceptsKeys()) {
        call.fail(Refusal.KEYS_TOO_OLD);
      } else {
        call.retryOrFail(RetryReason.ENDPOINT_LEAVING, Refusal.NO_ENDPOINT);
      }
      return;
    }
    if (continuesElsewhere()) {
      close();
      acquired.releaseUnused();
      call.retryOrFail(RetryReason.UNREACHABLE, Refusal.STREAM_VERSION_GONE);
      return;
    }
    if (acquired.isUnused()) {
      state.poisonFilter().connectionAccepted(endpoint);
    }
    if (call.failIfCrashing()) {
      close();
      acquired.releaseUnused();
      return;
    }
    if (isAwaitingAdmission()) {
      // The limit was named while the connection was being opened.
      acquired.releaseUnused();
      requestAdmission();
      return;
    }
    connection = acquired;
    progress.sendCount++;
    trial = state.versionRouting().begin(context, endpoint);
    progress.possibleExecutions += cacheCopy == null ? 1 : 0;
    sentMillis = now;
    lastProgressMillis = now;
    trackedRequest.recordSent(baseLatencyMillis, now);
    long resumeAfter = progress.streamStarted ? progress.events.lastId() : -1;
    connection.send(
        call.headerRewriter()
            .endpointRequest(
                context, endpoint.registration(), call.remainingMillis(), resumeAfter, cacheCopy),
        requestId(),
        this);
    scheduleSilenceCheck(initialSilenceTimeoutMillis());
    if (context.route().kind() == CallKind.STREAM) {
      state.registerStream(endpoint.id(), this);
    }
  }

  /** Returns whether the endpoint may no longer be of the version at which the stream began. */
  private boolean continuesElsewhere() {
    return progress.origin != null && endpoint.mayHaveStopped();
  }

  @Override
  public void onConnectFailed(String reason, boolean refused) {
    if (refused) {
      state.recordRefusedConnection(endpoint);
    }
    endUnconnected(reason, call::onUnreachable);
  }

  @Override
  public void onLimitReached(String reason) {
    endUnconnected(reason, () -> call.retryOrFail(RetryReason.UNREACHABLE, Refusal.UNREACHABLE));
  }

  private void endUnconnected(String reason, Runnable next) {
    boolean wasActive = isActive();
    trackedRequest.recordFailure(state.clock().millis());
    close();
    if (wasActive) {
      logOutcome("not-connected", reason);
      next.run();
    }
  }

  private long initialSilenceTimeoutMillis() {
    Route route = context.route();
    if (!route.isRepeatable() || progress.possibleExecutions >= context.maxAttempts()) {
      return 0;
    }
    if (route.kind() == CallKind.STREAM) {
      return Math.max(ENDPOINT_SILENCE_MILLIS, (long) (2 * baseLatencyMillis));
    }
    long share = (long) (RESPONSE_SILENCE_SHARE * call.remainingMillis());
    return Math.max(MIN_RESPONSE_SILENCE_MILLIS, share);
  }

  private void scheduleSilenceCheck(long millis) {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
      silenceTimer = null;
    }
    if (millis > 0) {
      silenceTimer = state.loop().schedule(this::onSilence, millis, TimeUnit.MILLISECONDS);
    }
  }

  private void onSilence() {
    if (!isActive() || migrating) {
      return;
    }
    long now = state.clock().millis();
    boolean isStream = context.route().kind() == CallKind.STREAM;
    boolean endpointProgresses = now - endpoint.lastProgressMillis() < ENDPOINT_SILENCE_MILLIS;
    long remainingMillis = lastProgressMillis + STREAM_STALL_MILLIS - now;
    if (isStream && endpointProgresses && remainingMillis > 0) {
      // The endpoint is processing other prompts; a retry elsewhere would only add load.
      scheduleSilenceCheck(remainingMillis);
      return;
    }
    if (progress.streamStarted && !call.canRetryElsewhere()) {
      // The endpoint may go on; ending the attempt would only cut the stream.
      scheduleSilenceCheck(ENDPOINT_SILENCE_MILLIS);
      return;
    }
    logOutcome("silent", "no progress in time");
    trial.fail();
    trackedRequest.recordFailure(state.clock().millis());
    abort();
    call.retryOrFail(RetryReason.SILENT, Refusal.EXPIRED);
  }

  @Override
  public void onHead(HttpResponse response) {
    status = response.status().code();
    headers = response.headers();
    notExecuted =
        headers.contains(call.headerNames().notExecuted()) || status == MISDIRECTED_REQUEST;
    if (status != MISDIRECTED_REQUEST) {
      String limit = headers.get(call.headerNames().endpointLimit());
      state.endpointLimits().recordResponse(endpoint, limit, sentMillis);
      state.recordEndpointResponse(endpoint, status, headers);
    }
    delimitedByClose = !EndpointConnection.isSelfDelimiting(response);
    boolean signed = headers.contains(call.headerNames().signature());
    if (status >= 200 && status < 300 && !signed) {
      rejectResponse("success response without a signature");
      return;
    }
    streaming = context.route().kind() == CallKind.STREAM && status == 200;
    if (streaming) {
      splitter = EventSplitter.create(MAX_EVENT_BYTES);
    } else {
      body = new ByteArrayOutputStream();
    }
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (!isActive()) {
      return;
    }
    lastProgressMillis = state.clock().millis();
    endpoint.recordProgress(lastProgressMillis);
    byte[] chunk = ByteBufUtil.getBytes(bytes);
    if (streaming) {
      boolean fits = splitter.add(chunk, this::onEvent);
      if (!fits && isActive()) {
        rejectResponse("event too large");
      }
      return;
    }
    if (body.size() + chunk.length > MAX_BODY_BYTES) {
      rejectResponse("response exceeds " + MAX_BODY_BYTES + " bytes");
      return;
    }
    if (++bodyReads > MAX_BODY_READS) {
      rejectResponse("response exceeds " + MAX_BODY_READS + " chunks");
      return;
    }
    if (!state.buffers().reserve(this, chunk.length)) {
      evict();
      return;
    }
    body.writeBytes(chunk);
    bodyEnd = JoinedContent.joinEnd(bodyEnd, chunk);
  }

  @Override
  public boolean mayEndWithinAnotherResponse() {
    return isActive()
        && !streaming
        && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        && call.joinedContent().endsWithinHead(bodyEnd);
  }

  @Override
  public void evict() {
    rejectResponse("responses in progress exceed their buffers");
  }

  private void onEvent(byte[] bytes, long id) {
    if (!isActive() || failureDuringMigration != null) {
      return;
    }
    if (call.joinedContent().isJoinedEvent(bytes)) {
      rejectResponse("another response begins within an event");
      return;
    }
    if (eventCount == 0 && continuesElsewhere()) {
      rejectResponse("another incarnation may have answered");
      return;
    }
    if (EventSplitter.isComment(bytes)) {
      forward(bytes);
      return;
    }
    if (!progress.events.isNext(id)) {
      String name = id < 0 ? "event without an id" : "event " + id;
      rejectResponse(name + " after event " + progress.events.lastId());
      return;
    }
    progress.events.advance(id);
    long now = state.clock().millis();
    if (progress.firstResponseMillis < 0) {
      progress.firstResponseMillis = now - context.request().receivedAtMillis();
    }
    trackedRequest.recordFirstResponse(now - sentMillis, baseLatencyMillis, now);
    call.countUsage();
    eventCount++;
    if (eventCount == 1) {
      firstEventMillis = now;
      trial.respond(now - sentMillis, baseLatencyMillis);
      state.waitingCalls().recordFirstResponse(context.service());
      recordFirstToken(now - sentMillis);
    }
    if (eventCount == EVENTS_OF_BEGUN_ANSWER) {
      state.poisonFilter().answerBegan(context);
    }
    forward(bytes);
  }

  /** Writes an event or a comment, after the head if it is the first one. */
  private void forward(byte[] bytes) {
    if (!progress.streamStarted) {
      progress.streamStarted = true;
      recordOrigin();
      responseWriter.start(status, call.headerRewriter().responseHeaders(context, headers));
      responseWriter.onWritable(call::onCallerWritable);
    }
    responseWriter.write(bytes);
    if (!responseWriter.isWritable()) {
      connection.setReading(false);
    }
    boolean canRetry =
        context.route().isRepeatable() && progress.possibleExecutions < context.maxAttempts();
    scheduleSilenceCheck(canRetry ? ENDPOINT_SILENCE_MILLIS : 0);
  }

  /** Adds the delay of the first token to the estimated performance of the service's engines. */
  private void recordFirstToken(long observedMillis) {
    boolean slotFree = loadBefore.running() < endpoint.registration().slots();
    if (slotFree && cacheCopy == null) {
      int uncachedTokens = trackedRequest.uncachedTokens();
      state
          .enginePerformance(context.service())
          .recordFirstToken(
              observedMillis, loadBefore.promptTokens(), uncachedTokens, cachedTokens);
    }
  }

  /** Adds the pace of a complete answer to the estimated performance of the service's engines. */
  private void recordDecoding() {
    long now = state.clock().millis();
    EnginePerformanceEstimator estimator = state.enginePerformance(context.service());
    long tokens = (long) (eventCount - 1) * state.tokensPerEvent(context.service());
    int running = (loadBefore.running() + endpoint.load().running()) / 2 + 1;
    estimator.recordDecoding(now - firstEventMillis, tokens, running);
    estimator.recordSlotHold(now - firstEventMillis);
  }

  /** Binds the stream to the version of its first event, before that event is forwarded. */
  private void recordOrigin() {
    if (progress.origin == null) {
      progress.origin =
          endpoint.mayHaveStopped()
              ? StreamOrigin.ofUnknownVersion(context.service(), endpoint.id())
              : new StreamOrigin(context.service(), endpoint.registration().version());
    }
    if (context.route().isRepeatable() && !context.id().isEmpty()) {
      long waitMillis = context.callerDeadlineMillis() - state.clock().millis();
      state.streamOrigins().record(context.id(), progress.origin, Math.max(0, waitMillis));
    }
  }

  @Override
  public void resumeReading() {
    if (isActive()) {
      connection.setReading(true);
    }
  }

  @Override
  public void onComplete() {
    if (!isActive()) {
      close();
      return;
    }
    if (migrating && delimitedByClose) {
      onFailure("response ended while its run was moved");
      return;
    }
    if (streaming) {
      completeStream();
      return;
    }
    byte[] content = body.toByteArray();
    if (call.joinedContent().isJoinedBody(content)) {
      rejectResponse("another response begins within the body");
      return;
    }
    if (notExecuted) {
      onRefused();
      return;
    }
    if (progress.streamStarted) {
      failResumedRun();
      return;
    }
    long now = state.clock().millis();
    recordCompletion();
    boolean serverError = status >= 500 || status == 429 || status == 408;
    if (serverError) {
      trackedRequest.recordFailure(now);
      trial.fail();
    } else {
      trial.respond(now - sentMillis, baseLatencyMillis);
      trackedRequest.recordFirstResponse(now - sentMillis, baseLatencyMillis, now);
      recordPlainResponse(now - sentMillis);
    }
    close();
    call.countUsage();
    boolean attemptsRemain = progress.possibleExecutions < context.maxAttempts();
    if (serverError && context.route().kind() == CallKind.IDEMPOTENT && attemptsRemain) {
      logOutcome("error", "status " + status);
      retryOr(RetryReason.ENDPOINT_ERROR, () -> forwardResponse(content));
      return;
    }
    forwardResponse(content);
  }

  private void recordPlainResponse(long observedMillis) {
    boolean slotFree = loadBefore.running() < endpoint.registration().slots();
    if (slotFree && status < 300) {
      state.recordPlainResponse(context.service(), observedMillis);
    }
  }

  /** Ends a run that was to go on with a stream but was answered by another status. */
  private void failResumedRun() {
    recordCompletion();
    trackedRequest.recordFailure(state.clock().millis());
    trial.fail();
    close();
    logOutcome("error", "status " + status + " within a stream");
    call.retryOrFail(RetryReason.ENDPOINT_ERROR, Refusal.ANSWER_LOST);
  }

  /** Retries the request if the remaining time and the retry budget allow, else runs the action. */
  private void retryOr(RetryReason reason, Runnable otherwise) {
    boolean timeRemains = call.remainingMillis() > RelayCall.MIN_REMAINING_MILLIS;
    if (!timeRemains || !state.retryBudget(context.service()).tryRetry()) {
      otherwise.run();
      return;
    }
    state.metrics().recordRetry(reason.code());
    call.selectAndSend();
  }

  private void forwardResponse(byte[] content) {
    if (Refusal.promisesNoExecution(status)) {
      // These statuses promise the caller non-execution, which the endpoint did not declare.
      logOutcome("error", "status " + status);
      call.fail(Refusal.ANSWER_LOST);
      return;
    }
    if (progress.firstResponseMillis < 0) {
      progress.firstResponseMillis = state.clock().millis() - context.request().receivedAtMillis();
    }
    state.metrics().recordResponse(context.service(), status, progress.firstResponseMillis);
    call.finish("answered", status, endpoint.id());
    responseWriter.send(status, call.headerRewriter().responseHeaders(context, headers), content);
  }

  private void completeStream() {
    if (splitter.hasPartialEvent()) {
      rejectResponse("stream ended within an event");
      return;
    }
    if (eventCount == 0) {
      // Nothing tells whether the last event of the run before was the last one of the stream.
      rejectResponse("stream without events");
      return;
    }
    recordCompletion();
    recordDecoding();
    close();
    recordAnswerLength();
    state.streamOrigins().complete(context.id());
    state.metrics().recordResponse(context.service(), status, progress.firstResponseMillis);
    call.finish("answered", status, endpoint.id());
    responseWriter.complete();
  }

  /**
   * Records that the request did not crash the endpoint, unless the response ended with its
   * connection, as it does if the endpoint crashes.
   */
  private void recordCompletion() {
    if (delimitedByClose) {
      recordLoss();
      return;
    }
    state.poisonFilter().endpointResponded(endpoint, sentMillis);
    state.poisonFilter().requestCompleted(context);
  }

  private void recordLoss() {
    boolean answerBegun = eventCount >= EVENTS_OF_BEGUN_ANSWER;
    state.poisonFilter().connectionLost(endpoint, context, answerBegun);
  }

  private void recordAnswerLength() {
    int declaredTokens = context.declaredTokens() - context.work().promptTokens();
    long tokens = progress.events.lastId() * state.tokensPerEvent(context.service());
    if (!context.request().headers().contains(call.headerNames().lastEventId())) {
      state.answerLengths().recordAnswer(context.route().name(), declaredTokens, tokens);
    }
  }

  @Override
  public void migrate() {
    Optional<StreamMigrator> migrator = state.migrator(context.service());
    if (!isActive()
        || !progress.streamStarted
        || !progress.events.canResume()
        || migrating
        || migrator.isEmpty()
        || context.id().isEmpty()
        || state.poisonFilter().refusal(context).isPresent()) {
      return;
    }
    Optional<Choice> target = chooseMigrationTarget();
    if (target.isEmpty() || !state.retryBudget(context.service()).tryRetry()) {
      return;
    }
    migrating = true;
    state
        .endpointLimits()
        .admit(target.get().endpoint())
        .thenAccept(admits -> onMigrationAdmitted(migrator.get(), target.get(), admits));
  }

  private void onMigrationAdmitted(StreamMigrator migrator, Choice target, boolean admits) {
    if (!admits || !isActive()) {
      onMigrated(migrator, target, Optional.empty(), null);
      return;
    }
    HostPort source = endpoint.registration().address();
    HostPort targetAddress = target.endpoint().registration().address();
    migrator
        .migrate(source, context.id(), targetAddress)
        .whenComplete((copy, failure) -> onMigrated(migrator, target, copy, failure));
  }

  /**
   * Chooses none of the endpoints that the request was sent to: their responses have its id, and a
   * repeated refusal would not be told from one of the migrated run.
   */
  private Optional<Choice> chooseMigrationTarget() {
    return call.selection().choose();
  }

  private void onMigrated(
      StreamMigrator migrator, Choice target, Optional<String> copy, Throwable failure) {
    migrating = false;
    boolean migrated = failure == null && copy.isPresent();
    logOutcome(migrated ? "moved" : "not-moved", "endpoint leaves");
    if (!migrated) {
      if (failureDuringMigration != null) {
        onFailure(failureDuringMigration);
      }
      return;
    }
    if (!isActive()) {
      migrator.discardCopy(endpoint.registration().address(), copy.get());
      return;
    }
    abort();
    state.metrics().recordRetry(RetryReason.ENDPOINT_LEAVING.code());
    call.send(target, copy.get());
  }

  private void onRefused() {
    if (status == MISDIRECTED_REQUEST) {
      // Another incarnation listens at the address.
      state.recordStopped(endpoint);
    }
    trackedRequest.recordRefusal(state.clock().millis());
    state.endpointNotices().recordRejection(endpoint);
    close();
    progress.possibleExecutions -= cacheCopy == null ? 1 : 0;
    progress.refusalCount++;
    logOutcome("refused", "status " + status);
    call.retryOrFail(RetryReason.REFUSED, Refusal.REFUSED_BY_ENDPOINTS);
  }

  private void rejectResponse(String reason) {
    connection.abort();
    onFailure(reason);
  }

  @Override
  public void onFailure(String reason) {
    if (migrating && isActive()) {
      // The endpoint stops the run before the KV cache is copied; onMigrated handles the failure.
      failureDuringMigration = reason;
      scheduleSilenceCheck(0);
      return;
    }
    boolean wasActive = isActive();
    trackedRequest.recordFailure(state.clock().millis());
    close();
    if (!wasActive) {
      return;
    }
    logOutcome("broken", reason);
    trial.fail();
    recordLoss();
    if (!context.route().isRepeatable()) {
      call.countUsage();
      call.fail(Refusal.ANSWER_LOST);
      return;
    }
    call.retryOrFail(RetryReason.CONNECTION_LOST, Refusal.ANSWER_LOST);
  }

  @Override
  public void abort() {
    if (!closed && call.remainingMillis() <= 0) {
      trial.fail();
    }
    close();
    if (connection != null) {
      connection.abort();
    }
  }

  private void close() {
    if (!closed) {
      state.waitingCalls().recordEnd(context.service());
    }
    closed = true;
    state.buffers().release(this);
    trackedRequest.end();
    state.unregisterStream(endpoint.id(), this);
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
      silenceTimer = null;
    }
  }

  private static double rounded(double value) {
    return Math.round(value * LOGGED_STEPS) / LOGGED_STEPS;
  }

  private void logOutcome(String outcome, String reason) {
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("address", endpoint.registration().address().toString())
        .addKeyValue("connection", connection == null ? null : connection.id())
        .addKeyValue("connection_requests", connection == null ? 0 : connection.requestCount())
        .addKeyValue("version", endpoint.registration().version())
        .addKeyValue("outcome", outcome)
        .addKeyValue("reason", reason)
        .addKeyValue("send", progress.sendCount)
        .addKeyValue("base_ms", (long) baseLatencyMillis)
        .addKeyValue("running", loadBefore.running())
        .addKeyValue("slowness", rounded(endpoint.recentSlowness(state.clock().millis())))
        .addKeyValue("failure_share", rounded(endpoint.failureShare(state.clock().millis())))
        .addKeyValue("ms", sentMillis == 0 ? 0 : state.clock().millis() - sentMillis)
        .addKeyValue("left_ms", call.remainingMillis())
        .log("attempt ended");
  }
}
