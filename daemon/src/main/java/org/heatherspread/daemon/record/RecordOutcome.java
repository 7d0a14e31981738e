package org.heatherspread.daemon.record;

import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;

/**
 * How a request ended. Immutable.
 *
 * @param error the error it ended with; empty for a whole answer
 * @param execution what is known of its execution
 * @param response the answer to keep for a caller that asks again, if it is small enough to keep
 */
public record RecordOutcome(
    Optional<ErrorKind> error, Execution execution, Optional<StoredResponse> response) {

  /** Returns the outcome of a request that was answered whole and whose answer is not kept. */
  public static RecordOutcome answered() {
    return new RecordOutcome(Optional.empty(), Execution.RAN, Optional.empty());
  }

  /** Returns the outcome of a request that was answered whole, with the answer. */
  public static RecordOutcome answered(StoredResponse response) {
    return new RecordOutcome(Optional.empty(), Execution.RAN, Optional.of(response));
  }

  /** Returns the outcome of a request that ended with an error. */
  public static RecordOutcome failed(ErrorKind kind, Execution execution) {
    return new RecordOutcome(Optional.of(kind), execution, Optional.empty());
  }
}
