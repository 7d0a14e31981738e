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
import org.heatherspread.daemon.engine.EngineCall;
import org.heatherspread.daemon.engine.EngineException;
import org.heatherspread.daemon.engine.EngineReply;
import org.heatherspread.daemon.engine.FrameReader;
import org.heatherspread.daemon.record.Outcome;
import org.heatherspread.daemon.record.RecordProgress;
import org.heatherspread.daemon.routing.EndpointFailure;
import org.heatherspread.daemon.routing.Selection;
import org.heatherspread.daemon.routing.SelectionRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one request: carries out what its state machine decides, and turns the engine's frames
 * into the caller's events.
 *
 * <p>Safe for use by any thread: all state is guarded by the session's monitor, which is held while
 * actions are carried out but never while waiting.
 */
final class ChatSession implements FrameReader.Sink {
  private static final Logger logger = LoggerFactory.getLogger(ChatSession.class);

  /** Longest time between the headers of an answer and the reading of its body. */
  private static final long UNCLAIMED_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ChatTools tools;
  private final SessionStart start;
  private final String requestId;
  private final RequestStateMachine machine;
  private final AnswerEvents events;
  private final long beganAt;
  private final long deadlineAt;
  private final CompletableFuture<Void> taken = new CompletableFuture<>();
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private final Map<String, String> urls = new HashMap<>();
  private final Deque<RequestAction> queue = new ArrayDeque<>();
  private final List<Consumer<AnswerPort>> early = new ArrayList<>();

  private AnswerPort port;
  private Selection selection;
  private Selection nextSelection;
  private FrameReader reader;
  private int linkStep = -1;
  private FrameDisposition notable = FrameDisposition.DELIVER;
  private boolean pausedNow;
  private boolean running;
  private long pausedAt;
  private long lastTokenAt;
  private int chunkTokens;
  private boolean answered;

  private ChatSession(ChatTools tools, SessionStart start) {
    this.tools = tools;
    this.start = start;
    this.requestId = start.record().requestId();
    this.beganAt = tools.clock().nanos();
    this.deadlineAt = beganAt + start.call().remaining().toNanos();
    this.pausedAt = beganAt;
    this.events =
        AnswerEvents.create(requestId, start.call(), start.progress(), start.callerOffset());
    RecordProgress progress = start.progress();
    urls.put(progress.endpointId(), progress.endpointUrl());
    this.machine =
        RequestStateMachine.create(
            tools.settings().policy(),
            new RequestStart(
                start.call().promptTokens(),
                deadlineAt,
                progress.attempt(),
                progress.endpointId(),
                progress.baseOffset(),
                start.callerOffset()),
            tools.budget(),
            tools.clock(),
            tools.random());
  }

  static ChatSession create(ChatTools tools, SessionStart start) {
    return new ChatSession(tools, start);
  }

  // ---- state ----

  String requestId() {
    return requestId;
  }

  SessionStart start() {
    return start;
  }

  /** Completes when an engine took the request, or fails with how it ended before that. */
  CompletableFuture<Void> taken() {
    return taken;
  }

  /** Completes when the session ended, in whatever way. */
  CompletableFuture<Void> ended() {
    return ended;
  }

  synchronized RequestPhase phase() {
    return machine.phase();
  }

  synchronized String endpoint() {
    return machine.endpoint();
  }

  /** Returns the tokens that would have to be computed again elsewhere. */
  synchronized long contextTokens() {
    return start.call().promptTokens() + machine.offset();
  }

  // ---- events from the daemon ----

  synchronized void begin() {
    run(machine.begin());
  }

  /** Checks every bound; true if the session let go of a caller that may yet resume. */
  synchronized boolean tick() {
    long unread = tools.clock().nanos() - pausedAt;
    if (pausedNow && unread > tools.settings().slowCaller().toNanos()) {
      logger.atInfo().addKeyValue("request_id", requestId).log("caller stopped reading");
      detach("the caller did not read its stream");
      return true;
    }
    if (port == null && taken.isDone() && unread > UNCLAIMED_NANOS) {
      cancel();
    } else {
      run(machine.tick());
    }
    return false;
  }

  /** Frees the engine of a request that was let go of and not resumed. */
  synchronized void free() {
    start.record().close(Outcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    if (machine.attempt() > 0) {
      tools.engines().cancel(url(machine.endpoint()), requestId, machine.attempt());
    }
  }

  synchronized void endpointLeaving(String id, long moveAtNanos, long endsAtNanos) {
    run(machine.onEndpointLeaving(id, moveAtNanos, endsAtNanos));
  }

  synchronized void cancel() {
    run(machine.cancel());
  }

  /** Lets go of the request without freeing the engine; the caller may resume it. */
  synchronized void detach(String why) {
    if (machine.phase() == RequestPhase.DONE) {
      return;
    }
    run(machine.detach());
    release(EndpointFailure.LEFT);
    ServingException cut = ServingException.of(ErrorKind.STREAM_CUT, why);
    taken.completeExceptionally(cut);
    toPort(p -> p.finish(events.error(cut), failureOf(cut)));
    end();
  }

  // ---- events from the caller's end ----

  synchronized void attach(AnswerPort attached) {
    port = attached;
    early.forEach(call -> call.accept(attached));
    early.clear();
  }

  synchronized void paused(boolean nowPaused) {
    pausedNow = nowPaused;
    pausedAt = tools.clock().nanos();
    machine.setPaused(nowPaused);
  }

  /** The caller hung up. */
  synchronized void callerGone() {
    cancel();
  }

  // ---- events from the engine ----

  /** Reads one chunk and returns what goes to the caller. */
  synchronized ByteString onChunk(int step, ByteString chunk) {
    if (step != linkStep) {
      return ByteString.emptyByteString();
    }
    machine.onBytes();
    notable = FrameDisposition.DELIVER;
    chunkTokens = 0;
    boolean readable = reader.read(chunk.toArrayUnsafe(), this);
    countTokens();
    if (!readable) {
      run(machine.onFailed(step, RetryReason.FRAME_GAP));
    } else if (notable != FrameDisposition.DELIVER) {
      run(machine.applyDisposition(notable));
    }
    return events.take();
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
      int text) {
    FrameDisposition verdict = machine.onFrame(sameRequest, attempt, offset, kind);
    if (verdict.isDropped()) {
      tools.metrics().dropped(verdict);
    }
    switch (verdict) {
      case DELIVER -> {
        chunkTokens += kind == FrameKind.TOKEN ? 1 : 0;
        events.deliver(offset, bytes, from, to, text);
      }
      case HOLD -> events.hold(offset, kind, bytes, from, to);
      case COMPLETE -> {
        events.complete(offset);
        notable = verdict;
      }
      case GAP -> notable = verdict;
      default -> {}
    }
  }

  @Override
  public void onHeartbeat() {
    events.heartbeat();
  }

  synchronized void onLinkEnded(int step) {
    run(machine.onFailed(step, RetryReason.CONNECTION_LOST));
  }

  private void countTokens() {
    if (chunkTokens == 0) {
      return;
    }
    long now = tools.clock().nanos();
    if (answered) {
      tools.metrics().tokens(chunkTokens, now - lastTokenAt);
    } else {
      answered = true;
      tools.metrics().firstTokens(chunkTokens);
      tools.metrics().firstToken(now - beganAt);
      if (selection != null) {
        selection.recordFirstToken(-1);
      }
    }
    lastTokenAt = now;
  }

  // ---- actions ----

  /** Carries out actions in order; events that they cause at once are queued behind them. */
  private void run(List<RequestAction> actions) {
    queue.addAll(actions);
    if (running) {
      return;
    }
    running = true;
    try {
      while (!queue.isEmpty()) {
        execute(queue.poll());
      }
    } finally {
      running = false;
    }
  }

  private void execute(RequestAction action) {
    if (action instanceof RequestAction.Select a) {
      select(a.step(), a.excluded());
    } else if (action instanceof RequestAction.Start a) {
      startAttempt(a);
    } else if (action instanceof RequestAction.Resume a) {
      tools.metrics().resumed();
      await(
          a.step(),
          a.attempt(),
          tools.engines().resume(url(a.endpoint()), requestId, a.attempt(), a.offset()));
    } else if (action instanceof RequestAction.Export a) {
      awaitKv(
          a.step(),
          tools.engines().exportKv(url(a.endpoint()), requestId),
          kv -> machine.onExported(a.step(), kv));
    } else if (action instanceof RequestAction.Import a) {
      awaitKv(
          a.step(),
          tools.engines().importKv(url(a.endpoint()), a.kvId(), url(a.source())),
          kv -> machine.onImported(a.step(), kv));
    } else if (action instanceof RequestAction.Disconnect) {
      linkStep = -1;
      toPort(AnswerPort::disconnect);
    } else if (action instanceof RequestAction.Cancel a) {
      tools.engines().cancel(url(a.endpoint()), requestId, a.attempt());
    } else if (action instanceof RequestAction.AttemptFailed a) {
      attemptFailed(a);
    } else if (action instanceof RequestAction.Finish a) {
      finish(a.outcome());
    }
  }

  private void select(int step, Set<String> excluded) {
    try {
      Selection chosen = tools.selector().select(route(excluded));
      nextSelection = chosen;
      urls.put(chosen.endpoint().id(), chosen.endpoint().baseUrl());
      run(machine.onSelected(step, chosen.endpoint().id()));
    } catch (ServingException e) {
      if (e.kind() == ErrorKind.POISONED && machine.attempt() > 0) {
        run(machine.onRejected(step, ErrorKind.ENDPOINTS_CRASHED, e.getMessage()));
        return;
      }
      run(machine.onNoEndpoint(step, e.kind(), e.getMessage(), e.retryAfter()));
    }
  }

  private SelectionRequest route(Set<String> excluded) {
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
        Duration.ofNanos(Math.max(0, deadlineAt - tools.clock().nanos())));
  }

  private void startAttempt(RequestAction.Start a) {
    selection = nextSelection;
    nextSelection = null;
    ChatCall call = start.call();
    String text = a.offset() == 0 ? "" : events.text();
    start
        .record()
        .advance(
            new RecordProgress(
                RequestPhase.DISPATCHING,
                a.attempt(),
                a.endpoint(),
                url(a.endpoint()),
                requestId,
                a.offset(),
                text));
    byte[] body = a.offset() == 0 ? call.engineBody() : call.engineBody(text, a.offset(), a.kvId());
    long left = Math.max(1, (deadlineAt - tools.clock().nanos()) / 1_000_000);
    EngineCall attempt = new EngineCall(requestId, a.attempt(), call.priority(), left, body);
    await(a.step(), a.attempt(), tools.engines().start(url(a.endpoint()), attempt));
  }

  private void await(int step, int attempt, CompletableFuture<EngineReply> reply) {
    reply.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            onReply(step, attempt, answer);
          } else {
            onFailure(step, failure);
          }
        });
  }

  private synchronized void onReply(int step, int attempt, EngineReply reply) {
    if (reply instanceof EngineReply.Rejected rejected) {
      run(machine.onRejected(step, rejected.kind(), rejected.detail()));
      return;
    }
    if (!machine.isAwaitingStart(step)) {
      tools.engines().discard(reply);
      return;
    }
    linkStep = step;
    reader = FrameReader.create(requestId);
    events.forgetHeld();
    if (selection != null) {
      selection.recordStart();
    }
    Source<ByteString, ?> body = ((EngineReply.Stream) reply).body();
    toPort(p -> p.connect(step, body));
    run(machine.onStarted(step));
    if (taken.complete(null)) {
      pausedAt = tools.clock().nanos();
    }
  }

  private void awaitKv(
      int step, CompletableFuture<String> kv, Function<String, List<RequestAction>> event) {
    kv.whenComplete(
        (id, failure) -> {
          synchronized (this) {
            run(failure == null ? event.apply(id) : machine.onFailed(step, reason(failure)));
          }
        });
  }

  private synchronized void onFailure(int step, Throwable failure) {
    run(machine.onFailed(step, reason(failure)));
  }

  private static RetryReason reason(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EngineException e ? e.reason() : RetryReason.CONNECTION_LOST;
  }

  private void attemptFailed(RequestAction.AttemptFailed a) {
    tools.metrics().retried(a.reason());
    logger
        .atInfo()
        .addKeyValue("request_id", requestId)
        .addKeyValue("account", start.account())
        .addKeyValue("endpoint", a.endpoint())
        .addKeyValue("attempt", a.attempt())
        .addKeyValue("reason", a.reason().code())
        .log("attempt ended without an answer");
    if (selection != null) {
      selection.recordFailure(SessionFailures.endpointFailure(a.reason()));
      selection = null;
    }
  }

  // ---- end ----

  private void finish(RequestOutcome end) {
    tools.metrics().recomputed(Math.max(0, machine.recomputedTokens() - events.cachedTokens()));
    if (end.error().isEmpty()) {
      if (selection != null) {
        selection.recordCompletion();
        selection = null;
      }
      start.record().close(Outcome.answered());
      toPort(p -> p.finish(ByteString.emptyByteString(), Optional.empty()));
    } else {
      ErrorKind kind = end.error().get();
      release(EndpointFailure.CANCELLED);
      start.record().close(Outcome.failed(kind, end.execution()));
      ServingException plain = ServingException.of(kind, end.detail());
      ServingException error = end.retryAfter().map(plain::withRetryAfter).orElse(plain);
      if (!taken.completeExceptionally(error)) {
        tools.metrics().cut(kind);
        toPort(p -> p.finish(events.error(error), failureOf(error)));
      }
    }
    end();
  }

  /** A stream ends with an error event; a whole answer fails before any byte of it is sent. */
  private Optional<Throwable> failureOf(ServingException error) {
    return start.call().stream() ? Optional.empty() : Optional.of(error);
  }

  private void end() {
    start.grant().release(machine.offset());
    ended.complete(null);
  }

  private void release(EndpointFailure reason) {
    if (selection != null) {
      selection.recordFailure(reason);
      selection = null;
    }
    if (nextSelection != null) {
      nextSelection.recordFailure(reason);
      nextSelection = null;
    }
  }

  // ---- helpers ----

  private String url(String endpoint) {
    return urls.get(endpoint);
  }

  private void toPort(Consumer<AnswerPort> call) {
    if (port == null) {
      early.add(call);
    } else {
      call.accept(port);
    }
  }
}
