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
public final class RequestMachine {
  private static final int MAX_RESUMES = 2;
  private static final int TOLERATED_GAPS = 1;
  private static final long NO_TIME = Long.MAX_VALUE;
  private static final Duration COME_BACK = Duration.ofSeconds(1);
  private static final Duration MOVE_RETRY = Duration.ofMillis(250);

  /** What the connection to the current endpoint is doing. */
  private enum Link {
    NONE,
    WAITING,
    STARTING,
    OPEN,
    EXPORTING,
    IMPORTING
  }

  private final RequestPolicy policy;
  private final RequestStart start;
  private final MonotonicClock clock;
  private final FrameSequence frames;
  private final StreamWatch watch;
  private final Recovery recovery;
  private final Set<String> excluded = new HashSet<>();
  private List<RequestAction> out = new ArrayList<>();

  private RequestPhase phase;
  private Link link = Link.NONE;
  private int step;
  private int linkStep = -1;
  private int attempt;
  private int resumes;
  private String endpoint;
  private String target = "";
  private boolean mayHaveRun;
  private boolean taken;
  private int gaps;
  private long linkSince;
  private long attemptOffset;
  private long recomputed;
  private long leavingAt = NO_TIME;
  private long moveAt = NO_TIME;

  private RequestMachine(
      RequestPolicy policy,
      RequestStart start,
      RetryBudget budget,
      MonotonicClock clock,
      RandomGenerator random) {
    this.policy = policy;
    this.start = start;
    this.clock = clock;
    this.watch = new StreamWatch(policy, clock);
    this.recovery = new Recovery(policy, budget, clock, random);
    this.attempt = start.attempt();
    this.endpoint = start.endpoint();
    this.mayHaveRun = start.dispatched();
    this.taken = start.dispatched();
    this.phase = start.dispatched() ? RequestPhase.DISPATCHING : RequestPhase.ACCEPTED;
    this.frames = new FrameSequence(start.attempt(), start.baseOffset());
  }

  /** Creates the machine of a request that two daemons keep. */
  public static RequestMachine create(
      RequestPolicy policy,
      RequestStart start,
      RetryBudget budget,
      MonotonicClock clock,
      RandomGenerator random) {
    return new RequestMachine(policy, start, budget, clock, random);
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
  public boolean awaits(int atStep) {
    return !stale(atStep) && link == Link.STARTING;
  }

  /** Returns the answer tokens delivered so far. */
  public long offset() {
    return frames.offset();
  }

  /** Returns the tokens that endpoints had to compute again, before cache hits are taken off. */
  public long recomputedTokens() {
    return recomputed;
  }

  // ---- events: life ----

  /** Begins: chooses an endpoint, or resumes the stream that already runs. */
  public List<RequestAction> begin() {
    if (start.dispatched()) {
      resume();
    } else {
      choose();
    }
    return take();
  }

  /** The caller hung up or cancelled. */
  public List<RequestAction> cancel() {
    if (phase != RequestPhase.DONE) {
      abandon();
      finish(RequestEnd.failed(ErrorKind.CANCELLED, execution(), "cancelled by the caller"));
    }
    return take();
  }

  /** Another daemon goes on with the request: lets go of it without freeing the endpoint. */
  public List<RequestAction> detach() {
    if (phase != RequestPhase.DONE) {
      out.add(new RequestAction.Disconnect());
      phase = RequestPhase.DONE;
    }
    return take();
  }

  /** Time has passed: checks every bound. */
  public List<RequestAction> tick() {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    long now = clock.nanos();
    if (now >= start.deadlineNanos()) {
      abandon();
      ErrorKind kind = mayHaveRun() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE;
      finish(RequestEnd.failed(kind, execution(), "the deadline passed"));
      return take();
    }
    checkLink(now);
    if (link == Link.OPEN && now >= moveAt) {
      moveAt = NO_TIME;
      choose();
    }
    return take();
  }

  // ---- events: choice of an endpoint ----

  /** An endpoint was chosen. */
  public List<RequestAction> selected(int atStep, String chosen) {
    if (stale(atStep)) {
      return List.of();
    }
    if (link != Link.OPEN) {
      startAt(chosen, "");
      return take();
    }
    target = chosen;
    if (frames.offset() > 0 && leavingAt - clock.nanos() >= policy.move().toNanos()) {
      enter(Link.EXPORTING);
      linkStep = -1;
      out.add(new RequestAction.Export(step, endpoint));
    } else {
      leaveSource(true);
      startAt(target, "");
    }
    return take();
  }

  /** No endpoint can take the request now. */
  public List<RequestAction> noEndpoint(
      int atStep, ErrorKind kind, String detail, Optional<Duration> retryAfter) {
    if (stale(atStep)) {
      return List.of();
    }
    if (link == Link.OPEN) {
      moveAt = clock.nanos() + MOVE_RETRY.toNanos();
    } else if (attempt == 0) {
      RequestEnd end = RequestEnd.failed(kind, Execution.NOT_RUN, detail);
      finish(end.withRetryAfter(retryAfter.orElse(COME_BACK)));
    } else {
      excluded.clear();
      recover();
    }
    return take();
  }

  // ---- events: endpoint ----

  /** The endpoint took the request, or reopened its stream. */
  public List<RequestAction> started(int atStep) {
    if (stale(atStep) || link != Link.STARTING) {
      return List.of();
    }
    enter(Link.OPEN);
    linkStep = atStep;
    frames.expect(attempt);
    gaps = 0;
    taken = true;
    mayHaveRun = true;
    watch.opened();
    if (phase.compareTo(RequestPhase.STARTED) < 0) {
      phase = RequestPhase.STARTED;
    }
    return take();
  }

  /** A request to the endpoint failed, or its stream ended without the end marker. */
  public List<RequestAction> failed(int atStep, RetryReason reason) {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    if (link == Link.OPEN && atStep == linkStep) {
      linkLost(reason);
    } else if (!stale(atStep)) {
      stepFailed(reason);
    }
    return take();
  }

  /** The endpoint answered that it will never serve this request; no retry can help. */
  public List<RequestAction> rejected(int atStep, ErrorKind kind, String detail) {
    if (!stale(atStep)) {
      finish(RequestEnd.failed(kind, kind.execution(), detail));
    }
    return take();
  }

  /** The endpoint exported the KV cache and stopped the stream. */
  public List<RequestAction> exported(int atStep, String kvId) {
    if (!stale(atStep) && link == Link.EXPORTING) {
      final String source = endpoint;
      leaveSource(false);
      enter(Link.IMPORTING);
      step++;
      out.add(new RequestAction.Import(step, target, kvId, source));
    }
    return take();
  }

  /** The next endpoint holds the KV cache. */
  public List<RequestAction> imported(int atStep, String kvId) {
    if (!stale(atStep) && link == Link.IMPORTING) {
      startAt(target, kvId);
    }
    return take();
  }

  /**
   * An endpoint is under notice. Its streams move at {@code moveAtNanos}, so that many of them do
   * not move at once.
   */
  public List<RequestAction> endpointLeaving(String id, long moveAtNanos, long endsAtNanos) {
    if (phase != RequestPhase.DONE && id.equals(endpoint) && leavingAt == NO_TIME) {
      leavingAt = endsAtNanos;
      moveAt = moveAtNanos;
    }
    return take();
  }

  // ---- events: stream ----

  /** Bytes came, heartbeats included. */
  public void onBytes() {
    watch.bytes();
  }

  /** The caller does not read for now, so nothing is read from the endpoint either. */
  public void pause(boolean nowPaused) {
    watch.pause(nowPaused);
  }

  /** Judges one frame. After {@code COMPLETE} or {@code GAP}, call {@link #settle}. */
  public FrameVerdict onFrame(
      boolean sameRequest, int frameAttempt, long frameOffset, FrameKind kind) {
    if (phase == RequestPhase.DONE) {
      return FrameVerdict.LATE;
    }
    FrameVerdict verdict = frames.offer(sameRequest, frameAttempt, frameOffset, kind);
    if (verdict == FrameVerdict.DELIVER) {
      phase = RequestPhase.ANSWERING;
      watch.token();
      recovery.progressed();
      resumes = 0;
      gaps = 0;
    }
    return verdict;
  }

  /** Acts on the verdict of a frame that ended the stream or showed it to be unsound. */
  public List<RequestAction> settle(FrameVerdict verdict) {
    if (phase == RequestPhase.DONE) {
      return List.of();
    }
    if (verdict == FrameVerdict.COMPLETE) {
      finish(RequestEnd.whole());
    } else if (verdict == FrameVerdict.GAP && link == Link.OPEN && ++gaps > TOLERATED_GAPS) {
      linkLost(RetryReason.FRAME_GAP);
    }
    return take();
  }

  // ---- link ----

  private void checkLink(long now) {
    switch (link) {
      case WAITING -> {
        if (recovery.due()) {
          retry();
        }
      }
      case STARTING, EXPORTING, IMPORTING -> {
        if (now - linkSince > policy.start().toNanos()) {
          stepFailed(RetryReason.SILENT);
        }
      }
      case OPEN -> watch.fault(frames.offset() == attemptOffset).ifPresent(this::linkLost);
      default -> {}
    }
  }

  private void stepFailed(RetryReason reason) {
    switch (link) {
      case STARTING -> linkLost(reason);
      case EXPORTING -> {
        leaveSource(true);
        startAt(target, "");
      }
      case IMPORTING -> startAt(target, "");
      default -> {}
    }
  }

  private void linkLost(RetryReason reason) {
    boolean sent = reason != RetryReason.REFUSED && reason != RetryReason.UNREACHABLE;
    mayHaveRun |= sent;
    boolean resumable =
        reason == RetryReason.CONNECTION_LOST
            || reason == RetryReason.SILENT
            || reason == RetryReason.FRAME_GAP;
    if (resumable && resumes < MAX_RESUMES) {
      out.add(new RequestAction.Disconnect());
      resume();
    } else {
      failOver(reason, sent && reason != RetryReason.NOT_HELD);
    }
  }

  private void resume() {
    resumes++;
    frames.expect(attempt);
    enter(Link.STARTING);
    step++;
    out.add(new RequestAction.Resume(step, attempt, endpoint, frames.offset()));
  }

  private void failOver(RetryReason reason, boolean free) {
    out.add(new RequestAction.Disconnect());
    out.add(new RequestAction.AttemptFailed(attempt, endpoint, reason));
    if (free) {
      out.add(new RequestAction.Cancel(attempt, endpoint));
    }
    excluded.add(endpoint);
    recovery.failed(leavingAt == NO_TIME ? reason : RetryReason.ENDPOINT_LEAVING);
    if (recovery.exhausted() || frames.offset() < start.callerOffset()) {
      giveUp("the request could not be continued");
    } else if (recovery.immediate()) {
      retry();
    } else {
      recover();
    }
  }

  /** Waits a while and then looks for an endpoint, unless that has gone on for too long. */
  private void recover() {
    if (recovery.sleep()) {
      enter(Link.WAITING);
    } else {
      giveUp("no endpoint could go on with the request in time");
    }
  }

  private void retry() {
    if (!recovery.pay()) {
      if (mayHaveRun) {
        recover();
      } else {
        RequestEnd end =
            RequestEnd.failed(
                ErrorKind.RETRY_BUDGET_SPENT, Execution.NOT_RUN, "too many retries at present");
        finish(end.withRetryAfter(COME_BACK));
      }
      return;
    }
    link = Link.NONE;
    choose();
  }

  // ---- attempts ----

  private void choose() {
    step++;
    Set<String> avoid = new HashSet<>(excluded);
    if (link == Link.OPEN) {
      avoid.add(endpoint);
    }
    out.add(new RequestAction.Select(step, Set.copyOf(avoid)));
  }

  private void startAt(String chosen, String kvId) {
    attempt++;
    endpoint = chosen;
    leavingAt = NO_TIME;
    moveAt = NO_TIME;
    resumes = 0;
    attemptOffset = frames.offset();
    if (taken && kvId.isEmpty()) {
      recomputed += start.promptTokens() + frames.offset();
    }
    frames.expect(attempt);
    if (phase == RequestPhase.ACCEPTED) {
      phase = RequestPhase.DISPATCHING;
    }
    enter(Link.STARTING);
    step++;
    out.add(new RequestAction.Start(step, attempt, chosen, frames.offset(), kvId));
  }

  private void leaveSource(boolean free) {
    out.add(new RequestAction.Disconnect());
    out.add(new RequestAction.AttemptFailed(attempt, endpoint, RetryReason.ENDPOINT_LEAVING));
    if (free) {
      out.add(new RequestAction.Cancel(attempt, endpoint));
    }
    excluded.add(endpoint);
  }

  private void abandon() {
    if (link == Link.OPEN || link == Link.STARTING || link == Link.EXPORTING) {
      out.add(new RequestAction.Disconnect());
      out.add(new RequestAction.Cancel(attempt, endpoint));
    }
  }

  private void giveUp(String detail) {
    ErrorKind kind = mayHaveRun ? ErrorKind.STREAM_CUT : ErrorKind.NO_ENDPOINT;
    finish(RequestEnd.failed(kind, execution(), detail).withRetryAfter(COME_BACK));
  }

  private void finish(RequestEnd end) {
    phase = RequestPhase.DONE;
    link = Link.NONE;
    out.add(new RequestAction.Finish(end));
  }

  // ---- helpers ----

  private Execution execution() {
    return mayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN;
  }

  /** A byte that may have left counts as run, until the endpoint is known not to have taken it. */
  private boolean mayHaveRun() {
    return mayHaveRun || link == Link.STARTING;
  }

  private void enter(Link next) {
    link = next;
    linkSince = clock.nanos();
  }

  private boolean stale(int atStep) {
    return phase == RequestPhase.DONE || atStep != step;
  }

  private List<RequestAction> take() {
    if (out.isEmpty()) {
      return List.of();
    }
    List<RequestAction> taken = out;
    out = new ArrayList<>();
    return taken;
  }
}
