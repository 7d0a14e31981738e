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
 * State machine of one request to a model service. Selects an endpoint, resumes, moves or restarts
 * the stream, and ends the request. Each event returns the actions that the driver must perform;
 * the driver reports their results as events with the step number of the action.
 *
 * <p>Invariants: a response is complete only with its end marker at the expected offset; {@code
 * NOT_RUN} is reported only if no endpoint can have accepted the request; no action follows {@link
 * RequestAction.Finish}.
 *
 * <p>Not thread-safe: the driver must hold a lock during each call. Deterministic for a given clock
 * and random source.
 */
public final class RequestStateMachine {
  private static final int MAX_RESUMES = 2;
  private static final int MAX_TOLERATED_GAPS = 1;
  private static final long NOT_SET = Long.MAX_VALUE;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MOVE_RETRY_DELAY = Duration.ofMillis(250);

  /** State of the connection to the current endpoint. */
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

  /** Creates the state machine of a request whose record two daemons hold. */
  public static RequestStateMachine create(
      RequestPolicy policy,
      RequestStart start,
      RetryBudget budget,
      MonotonicClock clock,
      RandomGenerator random) {
    return new RequestStateMachine(policy, start, budget, clock, random);
  }

  /** Returns the current phase of the request. */
  public RequestPhase phase() {
    return phase;
  }

  /** Returns the number of the current attempt; 0 before the first. */
  public int attempt() {
    return attempt;
  }

  /** Returns the instance id of the current endpoint, or an empty string. */
  public String endpoint() {
    return endpoint;
  }

  /** Returns whether the given start or resume is still unanswered. */
  public boolean isAwaitingStart(int atStep) {
    return !isStale(atStep) && connectionState == ConnectionState.STARTING;
  }

  /** Returns the number of response tokens delivered so far. */
  public long offset() {
    return frames.offset();
  }

  /**
   * Returns the number of tokens that endpoints had to recompute, before cache hits are subtracted.
   */
  public long recomputedTokens() {
    return recomputedTokens;
  }

  /** Selects an endpoint, or resumes the stream if an attempt is already running. */
  public List<RequestAction> begin() {
    if (start.isDispatched()) {
      resumeStream();
    } else {
      selectEndpoint();
    }
    return drainActions();
  }

  /** Handles a cancellation or disconnect by the caller. */
  public List<RequestAction> cancel() {
    if (phase != RequestPhase.DONE) {
      cancelAttempt();
      finish(RequestOutcome.failed(ErrorKind.CANCELLED, execution(), "cancelled by the caller"));
    }
    return drainActions();
  }

  /**
   * Ends processing here because another daemon continues the request; disconnects without
   * cancelling the attempt at the endpoint.
   */
  public List<RequestAction> detach() {
    if (phase != RequestPhase.DONE) {
      pendingActions.add(new RequestAction.Disconnect());
      phase = RequestPhase.DONE;
    }
    return drainActions();
  }

  /** Checks the deadline and all timeouts; called periodically. */
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

  /** Handles the selection of an endpoint. */
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

  /** Handles a selection that found no available endpoint. */
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

  /** Handles an endpoint that accepted the request or reopened the stream. */
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

  /** Handles a failed request to the endpoint, or a stream that ended without the end marker. */
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

  /** Handles a permanent rejection by the endpoint; the request is not retried. */
  public List<RequestAction> onRejected(int atStep, ErrorKind kind, String detail) {
    if (!isStale(atStep)) {
      finish(RequestOutcome.failed(kind, kind.execution(), detail));
    }
    return drainActions();
  }

  /** Handles the export of the KV cache; the endpoint has stopped the stream. */
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

  /** Handles the import of the KV cache at the next endpoint. */
  public List<RequestAction> onImported(int atStep, String kvId) {
    if (!isStale(atStep) && connectionState == ConnectionState.IMPORTING) {
      startAttempt(moveTarget, kvId);
    }
    return drainActions();
  }

  /**
   * Handles a reclaim notice for an endpoint. The stream moves at {@code moveAtNanos}; the driver
   * spreads these times so that the streams of an endpoint do not all move at once.
   */
  public List<RequestAction> onEndpointLeaving(String id, long moveAtNanos, long endsAtNanos) {
    if (phase != RequestPhase.DONE && id.equals(endpoint) && endpointEndsAt == NOT_SET) {
      endpointEndsAt = endsAtNanos;
      moveAt = moveAtNanos;
    }
    return drainActions();
  }

  /** Records received bytes, heartbeats included. */
  public void onBytes() {
    streamMonitor.onBytes();
  }

  /** Sets whether the caller has stopped reading; nothing is read from the endpoint meanwhile. */
  public void setPaused(boolean paused) {
    streamMonitor.setPaused(paused);
  }

  /**
   * Classifies one frame. After {@code COMPLETE} or {@code GAP}, call {@link #applyDisposition}.
   */
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

  /** Ends the request after {@code COMPLETE}, or replaces the connection after repeated gaps. */
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

  /** Schedules a retry, or ends the request if the recovery timeout has passed. */
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

  private Execution execution() {
    return mayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN;
  }

  /**
   * Returns whether an endpoint may have executed the request. A request that may have been sent
   * counts as executed until the endpoint is known not to have accepted it.
   */
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
