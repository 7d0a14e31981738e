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

/** Single decisions of the state machine. */
class RequestMachineTest {
  private final ManualClock clock = ManualClock.create();
  private final RequestPolicy policy = RequestPolicy.defaults();

  private RequestMachine machine(RequestStart start, RetryBudgetSettings budget) {
    return RequestMachine.create(
        policy, start, RetryBudget.create(budget, clock), clock, new Random(1));
  }

  private RequestMachine accepted() {
    return machine(
        RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()), RetryBudgetSettings.defaults());
  }

  private static int step(List<RequestAction> actions) {
    RequestAction last = actions.get(actions.size() - 1);
    if (last instanceof RequestAction.Select a) {
      return a.step();
    }
    if (last instanceof RequestAction.Start a) {
      return a.step();
    }
    return ((RequestAction.Resume) last).step();
  }

  /** Runs a machine until its first attempt streams. */
  private int open(RequestMachine machine) {
    int start = step(machine.selected(step(machine.begin()), "a"));
    machine.started(start);
    return start;
  }

  private static RequestEnd end(List<RequestAction> actions) {
    return ((RequestAction.Finish) actions.get(actions.size() - 1)).end();
  }

  @Test
  void requestWithoutEndpointIsNotRunAtOnce() {
    RequestMachine machine = accepted();
    int step = step(machine.begin());
    RequestEnd end = end(machine.noEndpoint(step, ErrorKind.NO_ENDPOINT, "none", Optional.empty()));
    assertThat(end.execution()).isEqualTo(Execution.NOT_RUN);
    assertThat(end.retryAfter()).isPresent();
  }

  @Test
  void cancelWhileStartIsUnansweredIsUnknown() {
    RequestMachine machine = accepted();
    machine.selected(step(machine.begin()), "a");
    assertThat(end(machine.cancel()).execution()).isEqualTo(Execution.UNKNOWN);
  }

  @Test
  void heartbeatsDoNotHideStalledStream() {
    RequestMachine machine = accepted();
    open(machine);
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
  void pausedCallerIsNoSilence() {
    RequestMachine machine = accepted();
    open(machine);
    machine.pause(true);
    clock.advance(Duration.ofSeconds(20));
    assertThat(machine.tick()).isEmpty();
    machine.pause(false);
    assertThat(machine.tick()).isEmpty();
  }

  @Test
  void spentBudgetEndsRequestThatNeverRan() {
    RequestMachine machine =
        machine(
            RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()),
            new RetryBudgetSettings(0, 0, 0));
    int start = step(machine.selected(step(machine.begin()), "a"));
    machine.failed(start, RetryReason.REFUSED);
    clock.advance(Duration.ofSeconds(1));
    RequestEnd end = end(machine.tick());
    assertThat(end.error()).contains(ErrorKind.RETRY_BUDGET_SPENT);
    assertThat(end.execution()).isEqualTo(Execution.NOT_RUN);
  }

  @Test
  void spentBudgetDoesNotStopPlannedMove() {
    RequestMachine machine =
        machine(
            RequestStart.accepted(10, Duration.ofMinutes(1).toNanos()),
            new RetryBudgetSettings(0, 0, 0));
    open(machine);
    machine.endpointLeaving("a", clock.nanos(), clock.nanos());
    int step = step(machine.tick());
    assertThat(machine.selected(step, "b"))
        .anyMatch(a -> a instanceof RequestAction.Start s && s.endpoint().equals("b"));
  }

  @Test
  void streamStaysAtLeavingEndpointWhileNoOtherCanTakeIt() {
    RequestMachine machine = accepted();
    open(machine);
    machine.endpointLeaving("a", clock.nanos(), clock.nanos());
    int step = step(machine.tick());
    machine.noEndpoint(step, ErrorKind.NO_ENDPOINT, "none", Optional.empty());
    assertThat(machine.onFrame(true, 1, 1, FrameKind.TOKEN)).isEqualTo(FrameVerdict.DELIVER);
    clock.advance(Duration.ofMillis(300));
    assertThat(machine.tick()).hasSize(1).first().isInstanceOf(RequestAction.Select.class);
  }

  @Test
  void endWithoutFinishReasonIsNotWhole() {
    RequestMachine machine = accepted();
    open(machine);
    machine.onFrame(true, 1, 1, FrameKind.TOKEN);
    assertThat(machine.onFrame(true, 1, 1, FrameKind.END)).isEqualTo(FrameVerdict.GAP);
  }

  @Test
  void adoptedRequestIsCutWhenItsTextIsLostWithItsEngine() {
    RequestStart start = new RequestStart(10, Duration.ofMinutes(1).toNanos(), 1, "a", 0, 7);
    RequestMachine machine = machine(start, RetryBudgetSettings.defaults());
    int step = step(machine.begin());
    RequestEnd end = end(machine.failed(step, RetryReason.NOT_HELD));
    assertThat(end.error()).contains(ErrorKind.STREAM_CUT);
    assertThat(end.execution()).isEqualTo(Execution.UNKNOWN);
  }

  @Test
  void lateAnswerToOlderStepChangesNothing() {
    RequestMachine machine = accepted();
    int first = step(machine.selected(step(machine.begin()), "a"));
    clock.advance(policy.start().plusMillis(1));
    machine.tick();
    assertThat(machine.started(first)).isEmpty();
    assertThat(machine.phase()).isEqualTo(RequestPhase.DISPATCHING);
  }
}
