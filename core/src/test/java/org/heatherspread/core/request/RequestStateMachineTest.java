package org.heatherspread.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Tests single transitions of the state machine. */
class RequestStateMachineTest {
  private final ManualClock clock = ManualClock.create();
  private final RequestPolicy policy = RequestPolicy.defaults();

  private RequestStateMachine machine(RequestStart start, RetryBudgetSettings budget) {
    return RequestStateMachine.create(
        policy, start, RetryBudget.create(budget, clock), clock, new Random(1));
  }

  private RequestStateMachine acceptedRequest() {
    return machine(
        RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()), RetryBudgetSettings.defaults());
  }

  private static int lastStep(List<RequestAction> actions) {
    RequestAction last = actions.get(actions.size() - 1);
    if (last instanceof RequestAction.Select a) {
      return a.step();
    }
    if (last instanceof RequestAction.Start a) {
      return a.step();
    }
    return ((RequestAction.Resume) last).step();
  }

  /** Opens the stream of the first attempt and returns its step. */
  private int openStream(RequestStateMachine machine) {
    int start = lastStep(machine.onSelected(lastStep(machine.begin()), "a"));
    machine.onStarted(start);
    return start;
  }

  private static RequestOutcome outcome(List<RequestAction> actions) {
    return ((RequestAction.Finish) actions.get(actions.size() - 1)).outcome();
  }

  @Test
  void requestWithoutEndpointEndsAsNotRun() {
    RequestStateMachine machine = acceptedRequest();
    int step = lastStep(machine.begin());
    RequestOutcome outcome =
        outcome(machine.onNoEndpoint(step, ErrorKind.NO_ENDPOINT, "none", Optional.empty()));
    assertThat(outcome.execution()).isEqualTo(Execution.NOT_RUN);
    assertThat(outcome.retryAfter()).isPresent();
  }

  @Test
  void cancelBeforeStartIsAnsweredReportsUnknownExecution() {
    RequestStateMachine machine = acceptedRequest();
    machine.onSelected(lastStep(machine.begin()), "a");
    assertThat(outcome(machine.cancel()).execution()).isEqualTo(Execution.UNKNOWN);
  }

  @Test
  void heartbeatsDoNotHideStalledStream() {
    RequestStateMachine machine = acceptedRequest();
    openStream(machine);
    machine.onBytes();
    machine.onFrame(true, 1, 1, FrameKind.TOKEN);
    List<RequestAction> actions = List.of();
    for (int i = 0; i < 15 && actions.isEmpty(); i++) {
      clock.advance(Duration.ofSeconds(1));
      machine.onBytes();
      actions = machine.tick();
    }
    assertThat(actions).contains(new RequestAction.AttemptFailed(1, "a", RetryReason.STALLED));
  }

  @Test
  void pausedCallerDoesNotCountAsSilence() {
    RequestStateMachine machine = acceptedRequest();
    openStream(machine);
    machine.setPaused(true);
    clock.advance(Duration.ofSeconds(20));
    assertThat(machine.tick()).isEmpty();
    machine.setPaused(false);
    assertThat(machine.tick()).isEmpty();
  }

  @Test
  void spentBudgetEndsRequestThatNeverRan() {
    RequestStateMachine machine =
        machine(
            RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()),
            new RetryBudgetSettings(0, 0, 0));
    int start = lastStep(machine.onSelected(lastStep(machine.begin()), "a"));
    machine.onFailed(start, RetryReason.REFUSED);
    clock.advance(Duration.ofSeconds(1));
    RequestOutcome outcome = outcome(machine.tick());
    assertThat(outcome.error()).contains(ErrorKind.RETRY_BUDGET_SPENT);
    assertThat(outcome.execution()).isEqualTo(Execution.NOT_RUN);
  }

  @Test
  void spentBudgetDoesNotStopPlannedMove() {
    RequestStateMachine machine =
        machine(
            RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()),
            new RetryBudgetSettings(0, 0, 0));
    openStream(machine);
    machine.onEndpointLeaving("a", clock.nanos(), clock.nanos());
    int step = lastStep(machine.tick());
    assertThat(machine.onSelected(step, "b"))
        .anyMatch(a -> a instanceof RequestAction.Start s && s.endpoint().equals("b"));
  }

  @Test
  void streamStaysAtLeavingEndpointWhileNoOtherIsAvailable() {
    RequestStateMachine machine = acceptedRequest();
    openStream(machine);
    machine.onEndpointLeaving("a", clock.nanos(), clock.nanos());
    int step = lastStep(machine.tick());
    machine.onNoEndpoint(step, ErrorKind.NO_ENDPOINT, "none", Optional.empty());
    assertThat(machine.onFrame(true, 1, 1, FrameKind.TOKEN)).isEqualTo(FrameDisposition.DELIVER);
    clock.advance(Duration.ofMillis(300));
    assertThat(machine.tick()).hasSize(1).first().isInstanceOf(RequestAction.Select.class);
  }

  @Test
  void endWithoutFinishReasonIsIncomplete() {
    RequestStateMachine machine = acceptedRequest();
    openStream(machine);
    machine.onFrame(true, 1, 1, FrameKind.TOKEN);
    assertThat(machine.onFrame(true, 1, 1, FrameKind.END)).isEqualTo(FrameDisposition.GAP);
  }

  @Test
  void takenOverRequestIsCutWhenEngineHoldingItsTextIsLost() {
    RequestStart start = new RequestStart(10, Duration.ofMinutes(1).toNanos(), 1, "a", 0, 7);
    RequestStateMachine machine = machine(start, RetryBudgetSettings.defaults());
    int step = lastStep(machine.begin());
    RequestOutcome outcome = outcome(machine.onFailed(step, RetryReason.NOT_HELD));
    assertThat(outcome.error()).contains(ErrorKind.STREAM_CUT);
    assertThat(outcome.execution()).isEqualTo(Execution.UNKNOWN);
  }

  @Test
  void lateEventForOlderStepIsIgnored() {
    RequestStateMachine machine = acceptedRequest();
    int first = lastStep(machine.onSelected(lastStep(machine.begin()), "a"));
    clock.advance(policy.startTimeout().plusMillis(1));
    machine.tick();
    assertThat(machine.onStarted(first)).isEmpty();
    assertThat(machine.phase()).isEqualTo(RequestPhase.DISPATCHING);
  }
}
