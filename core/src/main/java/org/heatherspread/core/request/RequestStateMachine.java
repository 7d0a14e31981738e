package org.heatherspread.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The life of one request to a model service: which endpoint runs it, when its stream is replaced,
 * moved or run again, and when it ends. Events go in, actions come out; the driver carries the
 * actions out and reports back with the step number of each.
 *
 * <p>Invariants: the answer is whole only with its end marker at the right offset; "not run" is
 * said only if no endpoint can have taken the request; after the end no action follows.
 *
 * <p>Not safe for use by several threads: the driver calls it under one lock. Deterministic, given
 * the clock and the random source.
 */
public final class RequestStateMachine {
  private static final int MAX_RESUMES = 2;
  private static final int MAX_TOLERATED_GAPS = 1;
  private static final long NOT_SET = Long.MAX_VALUE;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MOVE_RETRY_DELAY = Duration.ofMillis(250);

  /** What the connection to the current endpoint is doing. */
  private enum ConnectionState {
    NONE,
    AWAITING_RETRY,
    STARTING,
    OPEN,
    EXPORTING,
    IMPORTING
  }

  private final RequestPolicy policy;
  private final RequestStart start;
  private final MonotonicClock clock;
  private final FrameSequence frames;
  private final StreamMonitor streamMonitor;
  private final RetryState retryState;
  private final Set<String> excluded = new HashSet<>();
  private List<RequestAction> pendingActions = new ArrayList<>();

  private RequestPhase phase;
  private ConnectionState connectionState = ConnectionState.NONE;
  private int step;
  private int streamStep = -1;
  private int attempt;
  private int resumeCount;
  private String endpoint;
  private String moveTarget = "";
  private boolean mayHaveRun;
  private boolean startedBefore;
  private int gapCount;
  private long connectionStateSince;
  private long attemptStartOffset;
  private long recomputedTokens;
  private long endpointEndsAt = NOT_SET;
  private long moveAt = NOT_SET;

  private RequestStateMachine(
      RequestPolicy policy,
      RequestStart start,
      RetryBudget budget,
      MonotonicClock clock,
      RandomGenerator random) {
    this.policy = policy;
    this.start = start;
    this.clock = clock;
    this.streamMonitor = new StreamMonitor(policy, clock);
    this.retryState = new RetryState(policy, budget, clock, random);
    this.attempt = start.attempt();
    this.endpoint = start.endpoint();
    this.mayHaveRun = start.isDispatched();
    this.startedBefore = start.isDispatched();
    this.phase = start.isDispatched() ? RequestPhase.DISPATCHING : RequestPhase.ACCEPTED;
    this.frames = new FrameSequence(start.attempt(), start.baseOffset());
  }

  /** Creates the machine of a request that two daemons keep. */
  public static RequestStateMachine create(
      RequestPolicy policy,
      RequestStart start,
      RetryBudget budget,
      MonotonicClock clock,
      RandomGenerator random) {
    return new RequestStateMachine(policy, start, budget, clock, random);
  }

  // ---- state ----

  /** Returns the phase reached. */
  public RequestPhase phase() {
    return phase;
  }

  /** Returns the number of the current attempt; 0 before the first. */
  public int attempt() {
    return attempt;
  }

  /** Returns the instance id of the current endpoint, or empty. */
  public String endpoint() {
    return endpoint;
  }

  /** Tells whether the answer to a start or resume is still awaited. */
  public boolean isAwaitingStart(int atStep) {
    return !isStale(atStep) && connectionState == ConnectionState.STARTING;
  }

  /** Returns the answer tokens delivered so far. */
  public long offset() {
    return frames.offset();
  }

  /** Returns the tokens that endpoints had to compute again, before cache hits are taken off. */
  public long recomputedTokens() {
    return recomputedTokens;
  }

  // ---- events: life ----

  /** Begins: chooses an endpoint, or resumes the stream that already runs. */
  public List<RequestAction> begin() {
    if (start.isDispatched()) {
      resumeStream();
    } else {
      selectEndpoint();
    }
    return drainActions();
  }

  /** The caller hung up or cancelled. */
  public List<RequestAction> cancel() {
    if (phase != RequestPhase.DONE) {
      cancelAttempt();
      finish(RequestOutcome.failed(ErrorKind.CANCELLED, execution(), "cancelled by the caller"));
    }
    return drainActions();
  }

  /** Another daemon goes on with the request: lets go of it without freeing the endpoint. */
  public List<RequestAction> detach() {
    if (phase != RequestPhase.DONE) {
      pendingActions.add(new RequestAction.Disconnect());
      phase = RequestPhase.DONE;
    }
    return drainActions();
  }

  /** Time has passed: checks every bound. */
  public List<RequestAction> tick() {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    long now = clock.nanos();
    if (now >= start.deadlineNanos()) {
      cancelAttempt();
      ErrorKind kind = mayHaveRun() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE;
      finish(RequestOutcome.failed(kind, execution(), "the deadline passed"));
      return drainActions();
    }
    checkConnectionState(now);
    if (connectionState == ConnectionState.OPEN && now >= moveAt) {
      moveAt = NOT_SET;
      selectEndpoint();
    }
    return drainActions();
  }

  // ---- events: choice of an endpoint ----

  /** An endpoint was chosen. */
  public List<RequestAction> onSelected(int atStep, String chosen) {
    if (isStale(atStep)) {
      return List.of();
    }
    if (connectionState != ConnectionState.OPEN) {
      startAttempt(chosen, "");
      return drainActions();
    }
    moveTarget = chosen;
    if (frames.offset() > 0 && endpointEndsAt - clock.nanos() >= policy.minMoveNotice().toNanos()) {
      setConnectionState(ConnectionState.EXPORTING);
      streamStep = -1;
      pendingActions.add(new RequestAction.Export(step, endpoint));
    } else {
      leaveEndpoint(true);
      startAttempt(moveTarget, "");
    }
    return drainActions();
  }

  /** No endpoint can take the request now. */
  public List<RequestAction> onNoEndpoint(
      int atStep, ErrorKind kind, String detail, Optional<Duration> retryAfter) {
    if (isStale(atStep)) {
      return List.of();
    }
    if (connectionState == ConnectionState.OPEN) {
      moveAt = clock.nanos() + MOVE_RETRY_DELAY.toNanos();
    } else if (attempt == 0) {
      RequestOutcome outcome = RequestOutcome.failed(kind, Execution.NOT_RUN, detail);
      finish(outcome.withRetryAfter(retryAfter.orElse(RETRY_AFTER)));
    } else {
      excluded.clear();
      scheduleRetryOrGiveUp();
    }
    return drainActions();
  }

  // ---- events: endpoint ----

  /** The endpoint took the request, or reopened its stream. */
  public List<RequestAction> onStarted(int atStep) {
    if (isStale(atStep) || connectionState != ConnectionState.STARTING) {
      return List.of();
    }
    setConnectionState(ConnectionState.OPEN);
    streamStep = atStep;
    frames.expectAttempt(attempt);
    gapCount = 0;
    startedBefore = true;
    mayHaveRun = true;
    streamMonitor.onOpened();
    if (phase.compareTo(RequestPhase.STARTED) < 0) {
      phase = RequestPhase.STARTED;
    }
    return drainActions();
  }

  /** A request to the endpoint failed, or its stream ended without the end marker. */
  public List<RequestAction> onFailed(int atStep, RetryReason reason) {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    if (connectionState == ConnectionState.OPEN && atStep == streamStep) {
      onConnectionFailed(reason);
    } else if (!isStale(atStep)) {
      onStepFailed(reason);
    }
    return drainActions();
  }

  /** The endpoint answered that it will never serve this request; no retry can help. */
  public List<RequestAction> onRejected(int atStep, ErrorKind kind, String detail) {
    if (!isStale(atStep)) {
      finish(RequestOutcome.failed(kind, kind.execution(), detail));
    }
    return drainActions();
  }

  /** The endpoint exported the KV cache and stopped the stream. */
  public List<RequestAction> onExported(int atStep, String kvId) {
    if (!isStale(atStep) && connectionState == ConnectionState.EXPORTING) {
      final String source = endpoint;
      leaveEndpoint(false);
      setConnectionState(ConnectionState.IMPORTING);
      step++;
      pendingActions.add(new RequestAction.Import(step, moveTarget, kvId, source));
    }
    return drainActions();
  }

  /** The next endpoint holds the KV cache. */
  public List<RequestAction> onImported(int atStep, String kvId) {
    if (!isStale(atStep) && connectionState == ConnectionState.IMPORTING) {
      startAttempt(moveTarget, kvId);
    }
    return drainActions();
  }

  /**
   * An endpoint is under notice. Its streams move at {@code moveAtNanos}, so that many of them do
   * not move at once.
   */
  public List<RequestAction> onEndpointLeaving(String id, long moveAtNanos, long endsAtNanos) {
    if (phase != RequestPhase.DONE && id.equals(endpoint) && endpointEndsAt == NOT_SET) {
      endpointEndsAt = endsAtNanos;
      moveAt = moveAtNanos;
    }
    return drainActions();
  }

  // ---- events: stream ----

  /** Bytes came, heartbeats included. */
  public void onBytes() {
    streamMonitor.onBytes();
  }

  /** The caller does not read for now, so nothing is read from the endpoint either. */
  public void setPaused(boolean paused) {
    streamMonitor.setPaused(paused);
  }

  /** Judges one frame. After {@code COMPLETE} or {@code GAP}, call {@link #applyDisposition}. */
  public FrameDisposition onFrame(
      boolean sameRequest, int frameAttempt, long frameOffset, FrameKind kind) {
    if (phase == RequestPhase.DONE) {
      return FrameDisposition.LATE;
    }
    FrameDisposition disposition = frames.evaluate(sameRequest, frameAttempt, frameOffset, kind);
    if (disposition == FrameDisposition.DELIVER) {
      phase = RequestPhase.ANSWERING;
      streamMonitor.onToken();
      retryState.onProgress();
      resumeCount = 0;
      gapCount = 0;
    }
    return disposition;
  }

  /** Acts on the verdict of a frame that ended the stream or showed it to be unsound. */
  public List<RequestAction> applyDisposition(FrameDisposition disposition) {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    if (disposition == FrameDisposition.COMPLETE) {
      finish(RequestOutcome.completed());
    } else if (disposition == FrameDisposition.GAP
        && connectionState == ConnectionState.OPEN
        && ++gapCount > MAX_TOLERATED_GAPS) {
      onConnectionFailed(RetryReason.FRAME_GAP);
    }
    return drainActions();
  }

  // ---- link ----

  private void checkConnectionState(long now) {
    switch (connectionState) {
      case AWAITING_RETRY -> {
        if (retryState.isRetryDue()) {
          retry();
        }
      }
      case STARTING, EXPORTING, IMPORTING -> {
        if (now - connectionStateSince > policy.startTimeout().toNanos()) {
          onStepFailed(RetryReason.SILENT);
        }
      }
      case OPEN ->
          streamMonitor
              .findFailure(frames.offset() == attemptStartOffset)
              .ifPresent(this::onConnectionFailed);
      default -> {}
    }
  }

  private void onStepFailed(RetryReason reason) {
    switch (connectionState) {
      case STARTING -> onConnectionFailed(reason);
      case EXPORTING -> {
        leaveEndpoint(true);
        startAttempt(moveTarget, "");
      }
      case IMPORTING -> startAttempt(moveTarget, "");
      default -> {}
    }
  }

  private void onConnectionFailed(RetryReason reason) {
    boolean mayHaveArrived = reason != RetryReason.REFUSED && reason != RetryReason.UNREACHABLE;
    mayHaveRun |= mayHaveArrived;
    boolean resumable =
        reason == RetryReason.CONNECTION_LOST
            || reason == RetryReason.SILENT
            || reason == RetryReason.FRAME_GAP;
    if (resumable && resumeCount < MAX_RESUMES) {
      pendingActions.add(new RequestAction.Disconnect());
      resumeStream();
    } else {
      failOver(reason, mayHaveArrived && reason != RetryReason.NOT_HELD);
    }
  }

  private void resumeStream() {
    resumeCount++;
    frames.expectAttempt(attempt);
    setConnectionState(ConnectionState.STARTING);
    step++;
    pendingActions.add(new RequestAction.Resume(step, attempt, endpoint, frames.offset()));
  }

  private void failOver(RetryReason reason, boolean cancel) {
    pendingActions.add(new RequestAction.Disconnect());
    pendingActions.add(new RequestAction.AttemptFailed(attempt, endpoint, reason));
    if (cancel) {
      pendingActions.add(new RequestAction.Cancel(attempt, endpoint));
    }
    excluded.add(endpoint);
    retryState.recordFailure(endpointEndsAt == NOT_SET ? reason : RetryReason.ENDPOINT_LEAVING);
    if (retryState.attemptsExhausted() || frames.offset() < start.callerOffset()) {
      giveUp("the request could not be continued");
    } else if (retryState.retriesImmediately()) {
      retry();
    } else {
      scheduleRetryOrGiveUp();
    }
  }

  /** Waits a while and then looks for an endpoint, unless that has gone on for too long. */
  private void scheduleRetryOrGiveUp() {
    if (retryState.scheduleRetry()) {
      setConnectionState(ConnectionState.AWAITING_RETRY);
    } else {
      giveUp("no endpoint could go on with the request in time");
    }
  }

  private void retry() {
    if (!retryState.chargeBudget()) {
      if (mayHaveRun) {
        scheduleRetryOrGiveUp();
      } else {
        RequestOutcome outcome =
            RequestOutcome.failed(
                ErrorKind.RETRY_BUDGET_SPENT, Execution.NOT_RUN, "too many retries at present");
        finish(outcome.withRetryAfter(RETRY_AFTER));
      }
      return;
    }
    connectionState = ConnectionState.NONE;
    selectEndpoint();
  }

  // ---- attempts ----

  private void selectEndpoint() {
    step++;
    Set<String> toExclude = new HashSet<>(excluded);
    if (connectionState == ConnectionState.OPEN) {
      toExclude.add(endpoint);
    }
    pendingActions.add(new RequestAction.Select(step, Set.copyOf(toExclude)));
  }

  private void startAttempt(String chosen, String kvId) {
    attempt++;
    endpoint = chosen;
    endpointEndsAt = NOT_SET;
    moveAt = NOT_SET;
    resumeCount = 0;
    attemptStartOffset = frames.offset();
    if (startedBefore && kvId.isEmpty()) {
      recomputedTokens += start.promptTokens() + frames.offset();
    }
    frames.expectAttempt(attempt);
    if (phase == RequestPhase.ACCEPTED) {
      phase = RequestPhase.DISPATCHING;
    }
    setConnectionState(ConnectionState.STARTING);
    step++;
    pendingActions.add(new RequestAction.Start(step, attempt, chosen, frames.offset(), kvId));
  }

  private void leaveEndpoint(boolean cancel) {
    pendingActions.add(new RequestAction.Disconnect());
    pendingActions.add(
        new RequestAction.AttemptFailed(attempt, endpoint, RetryReason.ENDPOINT_LEAVING));
    if (cancel) {
      pendingActions.add(new RequestAction.Cancel(attempt, endpoint));
    }
    excluded.add(endpoint);
  }

  private void cancelAttempt() {
    if (connectionState == ConnectionState.OPEN
        || connectionState == ConnectionState.STARTING
        || connectionState == ConnectionState.EXPORTING) {
      pendingActions.add(new RequestAction.Disconnect());
      pendingActions.add(new RequestAction.Cancel(attempt, endpoint));
    }
  }

  private void giveUp(String detail) {
    ErrorKind kind = mayHaveRun ? ErrorKind.STREAM_CUT : ErrorKind.NO_ENDPOINT;
    finish(RequestOutcome.failed(kind, execution(), detail).withRetryAfter(RETRY_AFTER));
  }

  private void finish(RequestOutcome outcome) {
    phase = RequestPhase.DONE;
    connectionState = ConnectionState.NONE;
    pendingActions.add(new RequestAction.Finish(outcome));
  }

  // ---- helpers ----

  private Execution execution() {
    return mayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN;
  }

  /** A byte that may have left counts as run, until the endpoint is known not to have taken it. */
  private boolean mayHaveRun() {
    return mayHaveRun || connectionState == ConnectionState.STARTING;
  }

  private void setConnectionState(ConnectionState next) {
    connectionState = next;
    connectionStateSince = clock.nanos();
  }

  private boolean isStale(int atStep) {
    return phase == RequestPhase.DONE || atStep != step;
  }

  private List<RequestAction> drainActions() {
    if (pendingActions.isEmpty()) {
      return List.of();
    }
    List<RequestAction> drained = pendingActions;
    pendingActions = new ArrayList<>();
    return drained;
  }
}
