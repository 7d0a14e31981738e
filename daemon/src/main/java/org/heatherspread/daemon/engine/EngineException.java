package org.heatherspread.daemon.engine;

import org.heatherspread.core.retry.RetryReason;

/** Failed engine request that another attempt may recover from. Immutable. */
public final class EngineException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final RetryReason reason;

  private EngineException(RetryReason reason, String detail, Throwable cause) {
    super(detail, cause, false, false);
    this.reason = reason;
  }

  /** Creates a failure with a detail message for the log. */
  public static EngineException of(RetryReason reason, String detail) {
    return new EngineException(reason, detail, null);
  }

  /** Creates a failure with its cause. */
  public static EngineException of(RetryReason reason, Throwable cause) {
    return new EngineException(reason, String.valueOf(cause.getMessage()), cause);
  }

  /** Returns the reason for another attempt. */
  public RetryReason reason() {
    return reason;
  }
}
