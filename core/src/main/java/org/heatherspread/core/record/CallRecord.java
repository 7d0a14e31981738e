package org.heatherspread.core.record;

/**
 * One record in a table. Not safe for use by several threads; the table that holds it locks.
 *
 * <p>Invariant: {@code outcome} is {@code IN_PROGRESS} until the call ended here.
 */
final class CallRecord {
  private final CallDescriptor call;
  private boolean dispatched;
  private CallOutcome outcome = CallOutcome.inProgress();

  CallRecord(CallDescriptor call) {
    this.call = call;
  }

  CallDescriptor call() {
    return call;
  }

  boolean isDispatched() {
    return dispatched;
  }

  void markDispatched() {
    dispatched = true;
  }

  CallOutcome outcome() {
    return outcome;
  }

  boolean isEnded() {
    return outcome.isFinal();
  }

  void end(CallOutcome finalOutcome) {
    outcome = finalOutcome;
  }

  long responseBytes() {
    return outcome.response().map(a -> (long) a.body().length).orElse(0L);
  }
}
