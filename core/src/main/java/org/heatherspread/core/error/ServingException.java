package org.heatherspread.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * Signals a failure of one {@link ErrorKind}; also the cause of failed futures.
 *
 * <p>Immutable. Has no stack trace, because rejected requests are part of normal operation.
 */
public final class ServingException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;
  private final Duration retryAfter;

  private ServingException(ErrorKind kind, String detail, Duration retryAfter, Throwable cause) {
    super(detail, cause, false, false);
    this.kind = kind;
    this.retryAfter = retryAfter;
  }

  /** Creates an exception with a detail message for the caller. */
  public static ServingException of(ErrorKind kind, String detail) {
    return new ServingException(kind, detail, null, null);
  }

  /** Creates an exception with a detail message for the caller and a cause. */
  public static ServingException of(ErrorKind kind, String detail, Throwable cause) {
    return new ServingException(kind, detail, null, cause);
  }

  /** Returns a copy with the delay after which the caller may retry. */
  public ServingException withRetryAfter(Duration delay) {
    return new ServingException(kind, getMessage(), delay, getCause());
  }

  /** Returns the kind of failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns the delay after which the caller may retry, if known. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
