package org.heatherspread.daemon.chat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.request.FrameDisposition;
import org.heatherspread.core.request.FrameKind;
import org.heatherspread.core.request.RequestAction;
import org.heatherspread.core.request.RequestOutcome;
import org.heatherspread.core.request.RequestPhase;
import org.heatherspread.core.request.RequestStart;
import org.heatherspread.core.request.RequestStateMachine;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.daemon.engine.EngineException;
import org.heatherspread.daemon.engine.EngineRequest;
import org.heatherspread.daemon.engine.EngineResponse;
import org.heatherspread.daemon.engine.FrameParser;
import org.heatherspread.daemon.record.RecordOutcome;
import org.heatherspread.daemon.record.RecordProgress;
import org.heatherspread.daemon.routing.EndpointFailure;
import org.heatherspread.daemon.routing.Selection;
import org.heatherspread.daemon.routing.SelectionRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one request: executes the actions of its state machine and translates the engine's frames
 * to events for the caller.
 *
 * <p>Thread-safe: all state is guarded by the session's monitor, which is held while actions are
 * executed but never while waiting.
 */
final class ChatSession implements FrameParser.Handler {
  private static final Logger logger = LoggerFactory.getLogger(ChatSession.class);

  /** Maximum time between the headers of a response and the start of its body stream. */
  private static final long RESPONSE_CLAIM_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final SessionContext context;
  private final SessionStart start;
  private final String requestId;
  private final RequestStateMachine stateMachine;
  private final ResponseEventWriter events;
  private final long startedAtNanos;
  private final long deadlineNanos;
  private final CompletableFuture<Void> accepted = new CompletableFuture<>();
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private final Map<String, String> endpointUrls = new HashMap<>();
  private final Deque<RequestAction> pendingActions = new ArrayDeque<>();
  private final List<Consumer<ResponseOutput>> pendingOutputCalls = new ArrayList<>();

  private ResponseOutput output;
  private Selection selection;
  private Selection nextSelection;
  private FrameParser frameParser;
  private int streamStep = -1;
  private FrameDisposition pendingDisposition = FrameDisposition.DELIVER;
  private boolean paused;
  private boolean executingActions;
  private long pauseChangedNanos;
  private long lastTokenNanos;
  private int chunkTokens;
  private boolean firstTokenReceived;

  private ChatSession(SessionContext context, SessionStart start) {
    this.context = context;
    this.start = start;
    this.requestId = start.record().requestId();
    this.startedAtNanos = context.clock().nanos();
    this.deadlineNanos = startedAtNanos + start.call().remaining().toNanos();
    this.pauseChangedNanos = startedAtNanos;
    this.events =
        ResponseEventWriter.create(requestId, start.call(), start.progress(), start.callerOffset());
    RecordProgress progress = start.progress();
    endpointUrls.put(progress.endpointId(), progress.endpointUrl());
    this.stateMachine =
        RequestStateMachine.create(
            context.settings().requestPolicy(),
            new RequestStart(
                start.call().promptTokens(),
                deadlineNanos,
                progress.attempt(),
                progress.endpointId(),
                progress.baseOffset(),
                start.callerOffset()),
            context.retryBudget(),
            context.clock(),
            context.random());
  }

  static ChatSession create(SessionContext context, SessionStart start) {
    return new ChatSession(context, start);
  }

  String requestId() {
    return requestId;
  }

  SessionStart start() {
    return start;
  }

  /**
   * Returns a future that completes when an engine accepts the request; it fails if the request
   * ends before that.
   */
  CompletableFuture<Void> accepted() {
    return accepted;
  }

  /** Returns a future that completes when the session ends, with or without a response. */
  CompletableFuture<Void> ended() {
    return ended;
  }

  synchronized RequestPhase phase() {
    return stateMachine.phase();
  }

  synchronized String endpoint() {
    return stateMachine.endpoint();
  }

  /** Returns the number of tokens that another engine would have to recompute. */
  synchronized long contextTokens() {
    return start.call().promptTokens() + stateMachine.offset();
  }

  synchronized void begin() {
    run(stateMachine.begin());
  }

  /**
   * Checks all timeouts. Returns true if the session was detached because the caller stopped
   * reading; the caller may still resume the request.
   */
  synchronized boolean tick() {
    long unchangedNanos = context.clock().nanos() - pauseChangedNanos;
    if (paused && unchangedNanos > context.settings().slowCallerTimeout().toNanos()) {
      logger.atInfo().addKeyValue("request_id", requestId).log("caller stopped reading");
      detach("the caller did not read its stream");
      return true;
    }
    if (output == null && accepted.isDone() && unchangedNanos > RESPONSE_CLAIM_TIMEOUT_NANOS) {
      cancel();
    } else {
      run(stateMachine.tick());
    }
    return false;
  }

  /** Cancels the attempt of a detached request that was not resumed. */
  synchronized void cancelDetached() {
    start
        .record()
        .close(RecordOutcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    if (stateMachine.attempt() > 0) {
      context
          .engineClient()
          .cancel(endpointUrl(stateMachine.endpoint()), requestId, stateMachine.attempt());
    }
  }

  synchronized void onEndpointLeaving(String id, long moveAtNanos, long endsAtNanos) {
    run(stateMachine.onEndpointLeaving(id, moveAtNanos, endsAtNanos));
  }

  synchronized void cancel() {
    run(stateMachine.cancel());
  }

  /**
   * Ends the session without cancelling the attempt at the engine, so that the caller can resume
   * the request.
   */
  synchronized void detach(String detail) {
    if (stateMachine.phase() == RequestPhase.DONE) {
      return;
    }
    run(stateMachine.detach());
    failSelections(EndpointFailure.LEFT);
    ServingException streamCut = ServingException.of(ErrorKind.STREAM_CUT, detail);
    accepted.completeExceptionally(streamCut);
    withOutput(p -> p.finish(events.createErrorEvent(streamCut), streamFailure(streamCut)));
    complete();
  }

  synchronized void attach(ResponseOutput newOutput) {
    output = newOutput;
    pendingOutputCalls.forEach(call -> call.accept(newOutput));
    pendingOutputCalls.clear();
  }

  synchronized void setPaused(boolean nowPaused) {
    paused = nowPaused;
    pauseChangedNanos = context.clock().nanos();
    stateMachine.setPaused(nowPaused);
  }

  /** Cancels the request because the caller disconnected. */
  synchronized void onDisconnect() {
    cancel();
  }

  /**
   * Parses a chunk from the engine and returns the bytes for the caller. Ignores chunks of a
   * replaced connection.
   */
  synchronized ByteString onChunk(int step, ByteString chunk) {
    if (step != streamStep) {
      return ByteString.emptyByteString();
    }
    stateMachine.onBytes();
    pendingDisposition = FrameDisposition.DELIVER;
    chunkTokens = 0;
    boolean readable = frameParser.parse(chunk.toArrayUnsafe(), this);
    updateTokenMetrics();
    if (!readable) {
      run(stateMachine.onFailed(step, RetryReason.FRAME_GAP));
    } else if (pendingDisposition != FrameDisposition.DELIVER) {
      run(stateMachine.applyDisposition(pendingDisposition));
    }
    return events.drain();
  }

  @Override
  public void onFrame(
      boolean sameRequest,
      int attempt,
      long offset,
      FrameKind kind,
      byte[] bytes,
      int from,
      int to,
      int contentStart) {
    FrameDisposition disposition = stateMachine.onFrame(sameRequest, attempt, offset, kind);
    if (disposition.isDropped()) {
      context.metrics().recordDroppedFrame(disposition);
    }
    switch (disposition) {
      case DELIVER -> {
        chunkTokens += kind == FrameKind.TOKEN ? 1 : 0;
        events.writeFrame(offset, bytes, from, to, contentStart);
      }
      case HOLD -> events.holdFrame(offset, kind, bytes, from, to);
      case COMPLETE -> {
        events.complete(offset);
        pendingDisposition = disposition;
      }
      case GAP -> pendingDisposition = disposition;
      default -> {}
    }
  }

  @Override
  public void onHeartbeat() {
    events.writeHeartbeat();
  }

  synchronized void onStreamEnded(int step) {
    run(stateMachine.onFailed(step, RetryReason.CONNECTION_LOST));
  }

  private void updateTokenMetrics() {
    if (chunkTokens == 0) {
      return;
    }
    long now = context.clock().nanos();
    if (firstTokenReceived) {
      context.metrics().recordTokens(chunkTokens, now - lastTokenNanos);
    } else {
      firstTokenReceived = true;
      context.metrics().recordFirstTokens(chunkTokens);
      context.metrics().recordFirstTokenLatency(now - startedAtNanos);
      if (selection != null) {
        selection.recordFirstToken(-1);
      }
    }
    lastTokenNanos = now;
  }

  /** Executes actions in order. Actions that result from their execution are queued behind them. */
  private void run(List<RequestAction> actions) {
    pendingActions.addAll(actions);
    if (executingActions) {
      return;
    }
    executingActions = true;
    try {
      while (!pendingActions.isEmpty()) {
        execute(pendingActions.poll());
      }
    } finally {
      executingActions = false;
    }
  }

  private void execute(RequestAction action) {
    if (action instanceof RequestAction.Select a) {
      select(a.step(), a.excluded());
    } else if (action instanceof RequestAction.Start a) {
      startAttempt(a);
    } else if (action instanceof RequestAction.Resume a) {
      context.metrics().recordResume();
      awaitResponse(
          a.step(),
          a.attempt(),
          context
              .engineClient()
              .resume(endpointUrl(a.endpoint()), requestId, a.attempt(), a.offset()));
    } else if (action instanceof RequestAction.Export a) {
      awaitKvCache(
          a.step(),
          context.engineClient().exportKvCache(endpointUrl(a.endpoint()), requestId),
          kv -> stateMachine.onExported(a.step(), kv));
    } else if (action instanceof RequestAction.Import a) {
      awaitKvCache(
          a.step(),
          context
              .engineClient()
              .importKvCache(endpointUrl(a.endpoint()), a.kvId(), endpointUrl(a.source())),
          kv -> stateMachine.onImported(a.step(), kv));
    } else if (action instanceof RequestAction.Disconnect) {
      streamStep = -1;
      withOutput(ResponseOutput::disconnect);
    } else if (action instanceof RequestAction.Cancel a) {
      context.engineClient().cancel(endpointUrl(a.endpoint()), requestId, a.attempt());
    } else if (action instanceof RequestAction.AttemptFailed a) {
      onAttemptFailed(a);
    } else if (action instanceof RequestAction.Finish a) {
      finish(a.outcome());
    }
  }

  private void select(int step, Set<String> excluded) {
    try {
      Selection chosen = context.selector().select(createRouteRequest(excluded));
      nextSelection = chosen;
      endpointUrls.put(chosen.endpoint().id(), chosen.endpoint().baseUrl());
      run(stateMachine.onSelected(step, chosen.endpoint().id()));
    } catch (ServingException e) {
      if (e.kind() == ErrorKind.POISONED && stateMachine.attempt() > 0) {
        run(stateMachine.onRejected(step, ErrorKind.ENDPOINTS_CRASHED, e.getMessage()));
        return;
      }
      run(stateMachine.onNoEndpoint(step, e.kind(), e.getMessage(), e.retryAfter()));
    }
  }

  private SelectionRequest createRouteRequest(Set<String> excluded) {
    ChatCall call = start.call();
    return new SelectionRequest(
        start.account(),
        call.service(),
        call.version(),
        call.adapter(),
        call.prompt(),
        call.maxTokens(),
        call.priority(),
        call.preferredDomain(),
        excluded,
        Duration.ofNanos(Math.max(0, deadlineNanos - context.clock().nanos())));
  }

  private void startAttempt(RequestAction.Start a) {
    selection = nextSelection;
    nextSelection = null;
    ChatCall call = start.call();
    String text = a.offset() == 0 ? "" : events.escapedText();
    start
        .record()
        .advance(
            new RecordProgress(
                RequestPhase.DISPATCHING,
                a.attempt(),
                a.endpoint(),
                endpointUrl(a.endpoint()),
                requestId,
                a.offset(),
                text));
    byte[] body =
        a.offset() == 0 ? call.engineBody() : call.continuationBody(text, a.offset(), a.kvId());
    long remainingMillis = Math.max(1, (deadlineNanos - context.clock().nanos()) / 1_000_000);
    EngineRequest request =
        new EngineRequest(requestId, a.attempt(), call.priority(), remainingMillis, body);
    awaitResponse(
        a.step(), a.attempt(), context.engineClient().start(endpointUrl(a.endpoint()), request));
  }

  private void awaitResponse(int step, int attempt, CompletableFuture<EngineResponse> response) {
    response.whenComplete(
        (engineResponse, failure) -> {
          if (failure == null) {
            onResponse(step, attempt, engineResponse);
          } else {
            onFailure(step, failure);
          }
        });
  }

  private synchronized void onResponse(int step, int attempt, EngineResponse response) {
    if (response instanceof EngineResponse.Rejected rejected) {
      run(stateMachine.onRejected(step, rejected.kind(), rejected.detail()));
      return;
    }
    if (!stateMachine.isAwaitingStart(step)) {
      context.engineClient().discard(response);
      return;
    }
    streamStep = step;
    frameParser = FrameParser.create(requestId);
    events.discardHeldFrames();
    if (selection != null) {
      selection.recordStart();
    }
    Source<ByteString, ?> body = ((EngineResponse.Accepted) response).body();
    withOutput(p -> p.connect(step, body));
    run(stateMachine.onStarted(step));
    if (accepted.complete(null)) {
      pauseChangedNanos = context.clock().nanos();
    }
  }

  private void awaitKvCache(
      int step, CompletableFuture<String> kv, Function<String, List<RequestAction>> event) {
    kv.whenComplete(
        (id, failure) -> {
          synchronized (this) {
            run(failure == null ? event.apply(id) : stateMachine.onFailed(step, reason(failure)));
          }
        });
  }

  private synchronized void onFailure(int step, Throwable failure) {
    run(stateMachine.onFailed(step, reason(failure)));
  }

  private static RetryReason reason(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EngineException e ? e.reason() : RetryReason.CONNECTION_LOST;
  }

  private void onAttemptFailed(RequestAction.AttemptFailed a) {
    context.metrics().recordRetry(a.reason());
    logger
        .atInfo()
        .addKeyValue("request_id", requestId)
        .addKeyValue("account", start.account())
        .addKeyValue("endpoint", a.endpoint())
        .addKeyValue("attempt", a.attempt())
        .addKeyValue("reason", a.reason().code())
        .log("attempt ended without a complete response");
    if (selection != null) {
      selection.recordFailure(EndpointFailureMapper.toEndpointFailure(a.reason()));
      selection = null;
    }
  }

  private void finish(RequestOutcome outcome) {
    context
        .metrics()
        .recordRecomputedTokens(
            Math.max(0, stateMachine.recomputedTokens() - events.cachedTokens()));
    if (outcome.error().isEmpty()) {
      if (selection != null) {
        selection.recordCompletion();
        selection = null;
      }
      start.record().close(RecordOutcome.answered());
      withOutput(p -> p.finish(ByteString.emptyByteString(), Optional.empty()));
    } else {
      ErrorKind kind = outcome.error().get();
      failSelections(EndpointFailure.CANCELLED);
      start.record().close(RecordOutcome.failed(kind, outcome.execution()));
      ServingException baseError = ServingException.of(kind, outcome.detail());
      ServingException error =
          outcome.retryAfter().map(baseError::withRetryAfter).orElse(baseError);
      if (!accepted.completeExceptionally(error)) {
        context.metrics().recordStreamCut(kind);
        withOutput(p -> p.finish(events.createErrorEvent(error), streamFailure(error)));
      }
    }
    complete();
  }

  /**
   * Returns the failure of the response body. Empty for a stream, which ends with an error event;
   * other responses fail before any byte is sent.
   */
  private Optional<Throwable> streamFailure(ServingException error) {
    return start.call().stream() ? Optional.empty() : Optional.of(error);
  }

  private void complete() {
    start.grant().release(stateMachine.offset());
    ended.complete(null);
  }

  private void failSelections(EndpointFailure reason) {
    if (selection != null) {
      selection.recordFailure(reason);
      selection = null;
    }
    if (nextSelection != null) {
      nextSelection.recordFailure(reason);
      nextSelection = null;
    }
  }

  private String endpointUrl(String endpoint) {
    return endpointUrls.get(endpoint);
  }

  private void withOutput(Consumer<ResponseOutput> call) {
    if (output == null) {
      pendingOutputCalls.add(call);
    } else {
      call.accept(output);
    }
  }
}
