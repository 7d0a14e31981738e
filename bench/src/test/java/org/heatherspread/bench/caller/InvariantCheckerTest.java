package org.heatherspread.bench.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.heatherspread.bench.caller.CallReport.Outcome;
import org.junit.jupiter.api.Test;

/** Tests that each kind of violated invariant is detected on its own. */
class InvariantCheckerTest {
  private static final String PATH = "/renewals/t-1";

  private static CallSpec write() {
    return new CallSpec(
        1, CallSpec.Kind.WRITE_PERMIT, "registry", "renewal", List.of(), 0, PATH, "{}");
  }

  private static CallSpec chat() {
    return new CallSpec(2, CallSpec.Kind.CHAT, "assistant", "summary", List.of(), 10, "", "");
  }

  private static CallReport report(CallSpec spec, Outcome outcome, List<String> notRunIds) {
    return new CallReport(spec, outcome, List.of("r1"), notRunIds, 1, 0, 0, 5, 9, "");
  }

  private static ExecutionLogReader.Entry entry(
      String id, String event, int tokens, int recomputed) {
    String detail = event.equals("started") && tokens == 0 ? "POST " + PATH : "";
    return new ExecutionLogReader.Entry(1_000, "e1", id, event, tokens, recomputed, detail);
  }

  private static CheckResult check(CallReport report, ExecutionLogReader.Entry... entries) {
    return InvariantChecker.check(List.of(report), List.of(entries), Map.of());
  }

  @Test
  void singleRunWithAnswerHoldsInvariants() {
    CheckResult result =
        check(report(write(), Outcome.ANSWERED, List.of()), entry("r1", "started", 0, 0));
    assertThat(result.invariantsHold()).isTrue();
    assertThat(result.faults()).isEmpty();
  }

  @Test
  void duplicateRunUnderAnotherIdIsDetected() {
    CheckResult result =
        check(
            report(write(), Outcome.ANSWERED, List.of()),
            entry("r1", "started", 0, 0),
            entry("other", "started", 0, 0));
    assertThat(result.runTwice()).isEqualTo(1);
    assertThat(result.invariantsHold()).isFalse();
  }

  @Test
  void runReportedAsNotRunIsDetected() {
    CheckResult reportedNotRun =
        check(report(write(), Outcome.ANSWERED, List.of("r0")), entry("r0", "started", 0, 0));
    assertThat(reportedNotRun.notRunButRan()).isEqualTo(1);
    CheckResult endedNotRun =
        check(report(write(), Outcome.NOT_RUN, List.of()), entry("r9", "started", 0, 0));
    assertThat(endedNotRun.notRunButRan()).isEqualTo(1);
    assertThat(endedNotRun.invariantsHold()).isFalse();
  }

  @Test
  void lostOrWrongAnswerViolatesInvariants() {
    assertThat(check(report(chat(), Outcome.LOST, List.of())).invariantsHold()).isFalse();
    assertThat(check(report(chat(), Outcome.WRONG, List.of())).invariantsHold()).isFalse();
  }

  @Test
  void tooFewAnswersDoNotHold() {
    List<CallReport> refused = Collections.nCopies(10, report(chat(), Outcome.REFUSED, List.of()));
    assertThat(InvariantChecker.check(refused, List.of(), Map.of()).invariantsHold()).isFalse();
  }

  @Test
  void lateStartOnLeavingEndpointIsDetected() {
    CallReport report = report(chat(), Outcome.ANSWERED, List.of());
    List<ExecutionLogReader.Entry> entries = List.of(entry("r1", "started", 5, 0));
    assertThat(
            InvariantChecker.check(List.of(report), entries, Map.of("e1", -1_999L))
                .invariantsHold())
        .isTrue();
    assertThat(InvariantChecker.check(List.of(report), entries, Map.of("e1", -2_001L)).lateStarts())
        .isEqualTo(1);
  }

  @Test
  void recomputedTokensIncludePromptsAndRepeatedAnswers() {
    CheckResult result =
        check(
            report(chat(), Outcome.ANSWERED, List.of()),
            entry("r1", "started", 50, 0),
            entry("r1", "cancelled", 6, 0),
            entry("r1", "started", 50, 30),
            entry("r1", "finished", 7, 0));
    assertThat(result.recomputedTokens()).isEqualTo(30 + 3);
  }
}
