package org.heatherspread.core.request;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;

/**
 * How a request ended. Immutable.
 *
 * @param error the error; empty for a whole answer
 * @param execution what is known of its execution
 * @param detail a sentence for the caller
 * @param retryAfter when the caller should come back, if known
 */
public record RequestOutcome(
    Optional<ErrorKind> error, Execution execution, String detail, Optional<Duration> retryAfter) {

  static RequestOutcome completed() {
    return new RequestOutcome(Optional.empty(), Execution.RAN, "", Optional.empty());
  }

  static RequestOutcome failed(ErrorKind kind, Execution execution, String detail) {
    return new RequestOutcome(Optional.of(kind), execution, detail, Optional.empty());
  }

  RequestOutcome withRetryAfter(Duration delay) {
    return new RequestOutcome(error, execution, detail, Optional.of(delay));
  }
}
