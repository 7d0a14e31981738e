package org.heatherspread.bench.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.heatherspread.bench.caller.CallReport.Outcome;
import org.junit.jupiter.api.Test;

/** Shows that each broken invariant is found, one at a time. */
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

  private static ExecutionLogReader.Entry line(
      String id, String event, int tokens, int recomputed) {
    String detail = event.equals("started") && tokens == 0 ? "POST " + PATH : "";
    return new ExecutionLogReader.Entry(1_000, "e1", id, event, tokens, recomputed, detail);
  }

  private static CheckResult check(CallReport report, ExecutionLogReader.Entry... lines) {
    return InvariantChecker.check(List.of(report), List.of(lines), Map.of());
  }

  @Test
  void oneRunAndOneAnswerHold() {
    CheckResult result =
        check(report(write(), Outcome.ANSWERED, List.of()), line("r1", "started", 0, 0));
    assertThat(result.invariantsHold()).isTrue();
    assertThat(result.faults()).isEmpty();
  }

  @Test
  void secondRunUnderAnyIdIsFound() {
    CheckResult result =
        check(
            report(write(), Outcome.ANSWERED, List.of()),
            line("r1", "started", 0, 0),
            line("other", "started", 0, 0));
    assertThat(result.runTwice()).isEqualTo(1);
    assertThat(result.invariantsHold()).isFalse();
  }

  @Test
  void runAfterNotRunIsFound() {
    CheckResult told =
        check(report(write(), Outcome.ANSWERED, List.of("r0")), line("r0", "started", 0, 0));
    assertThat(told.notRunButRan()).isEqualTo(1);
    CheckResult ended =
        check(report(write(), Outcome.NOT_RUN, List.of()), line("r9", "started", 0, 0));
    assertThat(ended.notRunButRan()).isEqualTo(1);
    assertThat(ended.invariantsHold()).isFalse();
  }

  @Test
  void lostAndWrongAnswersBreakTheVerdict() {
    assertThat(check(report(chat(), Outcome.LOST, List.of())).invariantsHold()).isFalse();
    assertThat(check(report(chat(), Outcome.WRONG, List.of())).invariantsHold()).isFalse();
  }

  @Test
  void fewAnswersProveNothing() {
    List<CallReport> refused = Collections.nCopies(10, report(chat(), Outcome.REFUSED, List.of()));
    assertThat(InvariantChecker.check(refused, List.of(), Map.of()).invariantsHold()).isFalse();
  }

  @Test
  void newWorkOnLeavingEndpointIsFoundAfterTheBound() {
    CallReport report = report(chat(), Outcome.ANSWERED, List.of());
    List<ExecutionLogReader.Entry> lines = List.of(line("r1", "started", 5, 0));
    assertThat(
            InvariantChecker.check(List.of(report), lines, Map.of("e1", -1_999L)).invariantsHold())
        .isTrue();
    assertThat(InvariantChecker.check(List.of(report), lines, Map.of("e1", -2_001L)).lateStarts())
        .isEqualTo(1);
  }

  @Test
  void recomputedTokensCountPromptsAndRepeatedAnswers() {
    CheckResult result =
        check(
            report(chat(), Outcome.ANSWERED, List.of()),
            line("r1", "started", 50, 0),
            line("r1", "cancelled", 6, 0),
            line("r1", "started", 50, 30),
            line("r1", "finished", 7, 0));
    assertThat(result.recomputedTokens()).isEqualTo(30 + 3);
  }
}
