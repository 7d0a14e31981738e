package org.heatherspread.daemon.record;

import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;

/**
 * Outcome of a request that has ended. Immutable.
 *
 * @param error the error; empty for a complete response
 * @param execution what is known of the execution
 * @param response the response stored for repeated requests, if small enough
 */
public record RecordOutcome(
    Optional<ErrorKind> error, Execution execution, Optional<StoredResponse> response) {

  /** Returns the outcome of a request with a complete response that is not stored. */
  public static RecordOutcome answered() {
    return new RecordOutcome(Optional.empty(), Execution.RAN, Optional.empty());
  }

  /** Returns the outcome of a request with a complete, stored response. */
  public static RecordOutcome answered(StoredResponse response) {
    return new RecordOutcome(Optional.empty(), Execution.RAN, Optional.of(response));
  }

  /** Returns the outcome of a request that ended with an error. */
  public static RecordOutcome failed(ErrorKind kind, Execution execution) {
    return new RecordOutcome(Optional.of(kind), execution, Optional.empty());
  }
}
