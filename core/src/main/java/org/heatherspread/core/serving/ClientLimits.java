package org.heatherspread.core.serving;

/**
 * Limits on the size and timing of callers' requests. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request header
 * @param maxBodyBytes maximum size of the request body
 * @param headerTimeoutMillis maximum time to receive the request header
 * @param idleTimeoutMillis maximum time that a connection may stay idle
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
  private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;
  private static final int DEFAULT_HEADER_TIMEOUT_MILLIS = 3_000;
  private static final int DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000;

  /** Returns the limits that apply until a configuration is loaded. */
  public static ClientLimits defaults() {
    return new ClientLimits(
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT_MILLIS,
        DEFAULT_IDLE_TIMEOUT_MILLIS);
  }
}
