package org.heatherspread.core.serving;

/** What a caller may send, and how long it may take or stay idle. */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
  private static final int DEFAULT_HEADER_BYTES = 16_384;
  private static final int DEFAULT_BODY_BYTES = 4 << 20;
  private static final int DEFAULT_HEADER_TIMEOUT_MILLIS = 3_000;
  private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000;

  /** Returns the limits that hold until a configuration is known. */
  public static ClientLimits defaults() {
    return new ClientLimits(
        DEFAULT_HEADER_BYTES,
        DEFAULT_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT_MILLIS,
        DEFAULT_IDLE_TIMEOUT_MILLIS);
  }
}
