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
public record RequestEnd(
    Optional<ErrorKind> error, Execution execution, String detail, Optional<Duration> retryAfter) {

  static RequestEnd whole() {
    return new RequestEnd(Optional.empty(), Execution.RAN, "", Optional.empty());
  }

  static RequestEnd failed(ErrorKind kind, Execution execution, String detail) {
    return new RequestEnd(Optional.of(kind), execution, detail, Optional.empty());
  }

  RequestEnd withRetryAfter(Duration delay) {
    return new RequestEnd(error, execution, detail, Optional.of(delay));
  }
}
