package org.heatherspread.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure with a kind from the closed list; futures fail with it.
 *
 * <p>Immutable once built; the {@code with} method returns a copy. Carries no stack trace, since
 * refusals are ordinary results.
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

  /** Creates a failure of a kind with a sentence for the caller. */
  public static ServingException of(ErrorKind kind, String detail) {
    return new ServingException(kind, detail, null, null);
  }

  /** Creates a failure of a kind that another failure caused. */
  public static ServingException of(ErrorKind kind, String detail, Throwable cause) {
    return new ServingException(kind, detail, null, cause);
  }

  /** Returns a copy that tells the caller when to come back. */
  public ServingException withRetryAfter(Duration delay) {
    return new ServingException(kind, getMessage(), delay, getCause());
  }

  /** Returns the kind of the failure. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns when the caller should come back, if known. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }
}
