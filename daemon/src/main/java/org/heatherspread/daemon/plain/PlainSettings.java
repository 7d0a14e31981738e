package org.heatherspread.daemon.plain;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Bounds of calls to plain services. Immutable.
 *
 * @param connectTimeout how long an endpoint is given to accept a connection
 * @param callTimeout how long a call may take if the caller names no deadline
 * @param maxCallTimeout the most that a caller may ask for
 * @param maxBodyBytes largest body of a request or an answer
 */
public record PlainSettings(
    Duration connectTimeout, Duration callTimeout, Duration maxCallTimeout, int maxBodyBytes) {
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_MAX_CALL_TIMEOUT = Duration.ofMinutes(5);
  private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
  private static final int BODY_BYTES_LIMIT = 64 << 20;

  /** Returns the settings of a deployment that states none. */
  public static PlainSettings defaults() {
    return new PlainSettings(
        DEFAULT_CONNECT_TIMEOUT,
        DEFAULT_CALL_TIMEOUT,
        DEFAULT_MAX_CALL_TIMEOUT,
        DEFAULT_MAX_BODY_BYTES);
  }

  /** Reads the section {@code [plain]}. */
  public static PlainSettings read(Section section) {
    Duration shortest = Duration.ofMillis(10);
    Duration longest = Duration.ofHours(1);
    return new PlainSettings(
        section.duration("connect_timeout", DEFAULT_CONNECT_TIMEOUT, shortest, longest),
        section.duration("call_timeout", DEFAULT_CALL_TIMEOUT, shortest, longest),
        section.duration("longest_call", DEFAULT_MAX_CALL_TIMEOUT, shortest, longest),
        section.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1_024, BODY_BYTES_LIMIT));
  }
}
