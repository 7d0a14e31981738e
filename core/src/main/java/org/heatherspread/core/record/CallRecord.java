package org.heatherspread.core.record;

/**
 * Record of one call in a table. Not thread-safe; guarded by the lock of the table.
 *
 * <p>Invariant: {@code outcome} is {@code IN_PROGRESS} until the call has ended here.
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
