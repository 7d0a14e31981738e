package org.heatherspread.daemon.chat;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.heatherspread.daemon.http.ProblemResponses;

/**
 * Failure of a request whose id is known, so that the error response can contain the id. Immutable.
 */
final class RequestFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String requestId;

  private RequestFailedException(String requestId, Throwable cause) {
    super(cause.getMessage(), cause, false, false);
    this.requestId = requestId;
  }

  static RequestFailedException of(String requestId, Throwable failure) {
    return new RequestFailedException(requestId, unwrap(failure));
  }

  /** Returns the error response for a failure, with the request id if it is known. */
  static HttpResponse toResponse(Throwable failure, ProblemResponses problems) {
    Throwable cause = unwrap(failure);
    if (cause instanceof RequestFailedException requestFailure) {
      return problems.toResponse(requestFailure.getCause(), Optional.of(requestFailure.requestId));
    }
    return problems.toResponse(cause);
  }

  private static Throwable unwrap(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
