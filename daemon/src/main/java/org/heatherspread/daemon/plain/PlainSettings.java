package org.heatherspread.daemon.plain;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Limits of calls to plain services. Immutable.
 *
 * @param connectTimeout time for an endpoint to accept a connection
 * @param callTimeout timeout of a call for which the caller sets no deadline
 * @param maxCallTimeout maximum timeout that a caller may request
 * @param maxBodyBytes maximum size of a request or response body
 */
public record PlainSettings(
    Duration connectTimeout, Duration callTimeout, Duration maxCallTimeout, int maxBodyBytes) {
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_MAX_CALL_TIMEOUT = Duration.ofMinutes(5);
  private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
  private static final int BODY_BYTES_LIMIT = 64 << 20;

  /** Returns the default settings. */
  public static PlainSettings defaults() {
    return new PlainSettings(
        DEFAULT_CONNECT_TIMEOUT,
        DEFAULT_CALL_TIMEOUT,
        DEFAULT_MAX_CALL_TIMEOUT,
        DEFAULT_MAX_BODY_BYTES);
  }

  /** Reads the section {@code [plain]}. */
  public static PlainSettings read(Section section) {
    Duration minTimeout = Duration.ofMillis(10);
    Duration maxTimeout = Duration.ofHours(1);
    return new PlainSettings(
        section.duration("connect_timeout", DEFAULT_CONNECT_TIMEOUT, minTimeout, maxTimeout),
        section.duration("call_timeout", DEFAULT_CALL_TIMEOUT, minTimeout, maxTimeout),
        section.duration("longest_call", DEFAULT_MAX_CALL_TIMEOUT, minTimeout, maxTimeout),
        section.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1_024, BODY_BYTES_LIMIT));
  }
}
