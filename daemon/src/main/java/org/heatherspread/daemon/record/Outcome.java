package org.heatherspread.daemon.record;

import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;

/**
 * How a request ended. Immutable.
 *
 * @param error the error it ended with; empty for a whole answer
 * @param execution what is known of its execution
 * @param answer the answer to keep for a caller that asks again, if it is small enough to keep
 */
public record Outcome(
    Optional<ErrorKind> error, Execution execution, Optional<StoredAnswer> answer) {

  /** Returns the outcome of a request that was answered whole and whose answer is not kept. */
  public static Outcome answered() {
    return new Outcome(Optional.empty(), Execution.RAN, Optional.empty());
  }

  /** Returns the outcome of a request that was answered whole, with the answer. */
  public static Outcome answered(StoredAnswer answer) {
    return new Outcome(Optional.empty(), Execution.RAN, Optional.of(answer));
  }

  /** Returns the outcome of a request that ended with an error. */
  public static Outcome failed(ErrorKind kind, Execution execution) {
    return new Outcome(Optional.of(kind), execution, Optional.empty());
  }
}
