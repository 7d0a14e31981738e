package org.heatherspread.core.request;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;

/**
 * Final result of a request. Immutable.
 *
 * @param error the error; empty for a complete response
 * @param execution what is known about the execution of the request
 * @param detail error description for the caller; empty for a complete response
 * @param retryAfter delay after which the caller should retry, if known
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
