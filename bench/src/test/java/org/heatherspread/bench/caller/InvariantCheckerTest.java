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

  private static CallPlan write() {
    return new CallPlan(
        1, CallPlan.Kind.WRITE_PERMIT, "registry", "renewal", List.of(), 0, PATH, "{}");
  }

  private static CallPlan chat() {
    return new CallPlan(2, CallPlan.Kind.CHAT, "assistant", "summary", List.of(), 10, "", "");
  }

  private static CallReport report(CallPlan plan, Outcome outcome, List<String> notRunIds) {
    return new CallReport(plan, outcome, List.of("r1"), notRunIds, 1, 0, 0, 5, 9, "");
  }

  private static LedgerFiles.Line line(String id, String event, int tokens, int recomputed) {
    String detail = event.equals("started") && tokens == 0 ? "POST " + PATH : "";
    return new LedgerFiles.Line(1_000, "e1", id, event, tokens, recomputed, detail);
  }

  private static Verdict check(CallReport report, LedgerFiles.Line... lines) {
    return InvariantChecker.check(List.of(report), List.of(lines), Map.of());
  }

  @Test
  void oneRunAndOneAnswerHold() {
    Verdict verdict =
        check(report(write(), Outcome.ANSWERED, List.of()), line("r1", "started", 0, 0));
    assertThat(verdict.held()).isTrue();
    assertThat(verdict.faults()).isEmpty();
  }

  @Test
  void secondRunUnderAnyIdIsFound() {
    Verdict verdict =
        check(
            report(write(), Outcome.ANSWERED, List.of()),
            line("r1", "started", 0, 0),
            line("other", "started", 0, 0));
    assertThat(verdict.runTwice()).isEqualTo(1);
    assertThat(verdict.held()).isFalse();
  }

  @Test
  void runAfterNotRunIsFound() {
    Verdict told =
        check(report(write(), Outcome.ANSWERED, List.of("r0")), line("r0", "started", 0, 0));
    assertThat(told.notRunButRan()).isEqualTo(1);
    Verdict ended = check(report(write(), Outcome.NOT_RUN, List.of()), line("r9", "started", 0, 0));
    assertThat(ended.notRunButRan()).isEqualTo(1);
    assertThat(ended.held()).isFalse();
  }

  @Test
  void lostAndWrongAnswersBreakTheVerdict() {
    assertThat(check(report(chat(), Outcome.LOST, List.of())).held()).isFalse();
    assertThat(check(report(chat(), Outcome.WRONG, List.of())).held()).isFalse();
  }

  @Test
  void fewAnswersProveNothing() {
    List<CallReport> refused = Collections.nCopies(10, report(chat(), Outcome.REFUSED, List.of()));
    assertThat(InvariantChecker.check(refused, List.of(), Map.of()).held()).isFalse();
  }

  @Test
  void newWorkOnLeavingEndpointIsFoundAfterTheBound() {
    CallReport report = report(chat(), Outcome.ANSWERED, List.of());
    List<LedgerFiles.Line> lines = List.of(line("r1", "started", 5, 0));
    assertThat(InvariantChecker.check(List.of(report), lines, Map.of("e1", -1_999L)).held())
        .isTrue();
    assertThat(InvariantChecker.check(List.of(report), lines, Map.of("e1", -2_001L)).lateStarts())
        .isEqualTo(1);
  }

  @Test
  void recomputedTokensCountPromptsAndRepeatedAnswers() {
    Verdict verdict =
        check(
            report(chat(), Outcome.ANSWERED, List.of()),
            line("r1", "started", 50, 0),
            line("r1", "cancelled", 6, 0),
            line("r1", "started", 50, 30),
            line("r1", "finished", 7, 0));
    assertThat(verdict.recomputedTokens()).isEqualTo(30 + 3);
  }
}
