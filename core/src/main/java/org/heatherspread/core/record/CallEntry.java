package org.heatherspread.core.record;

/**
 * One record in a table. Not safe for use by several threads; the table that holds it locks.
 *
 * <p>Invariant: {@code outcome} is {@code IN_PROGRESS} until the call ended here.
 */
final class CallEntry {
  private final CallDraft draft;
  private boolean dispatched;
  private CallOutcome outcome = CallOutcome.inProgress();

  CallEntry(CallDraft draft) {
    this.draft = draft;
  }

  CallDraft draft() {
    return draft;
  }

  boolean dispatched() {
    return dispatched;
  }

  void markDispatched() {
    dispatched = true;
  }

  CallOutcome outcome() {
    return outcome;
  }

  boolean ended() {
    return outcome.isFinal();
  }

  void end(CallOutcome last) {
    outcome = last;
  }

  long answerBytes() {
    return outcome.answer().map(a -> (long) a.body().length).orElse(0L);
  }
}
