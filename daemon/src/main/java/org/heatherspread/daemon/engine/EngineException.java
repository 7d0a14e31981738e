package org.heatherspread.daemon.engine;

import org.heatherspread.core.retry.RetryReason;

/** A call of an engine failed in a way that another attempt may mend. Immutable. */
public final class EngineException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final RetryReason reason;

  private EngineException(RetryReason reason, String detail, Throwable cause) {
    super(detail, cause, false, false);
    this.reason = reason;
  }

  /** Creates a failure with a sentence for the log. */
  public static EngineException of(RetryReason reason, String detail) {
    return new EngineException(reason, detail, null);
  }

  /** Creates a failure that another failure caused. */
  public static EngineException of(RetryReason reason, Throwable cause) {
    return new EngineException(reason, String.valueOf(cause.getMessage()), cause);
  }

  /** Returns why another attempt may be made. */
  public RetryReason reason() {
    return reason;
  }
}
