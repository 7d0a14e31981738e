package org.heatherspread.daemon.settings;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Limits of the HTTP interface. Immutable.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxConnections maximum number of open connections
 * @param idleTimeout time without traffic after which a connection is closed; heartbeats are
 *     traffic
 */
public record HttpSettings(int maxBodyBytes, int maxConnections, Duration idleTimeout) {
  private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_BODY_BYTES_LIMIT = 64 << 20;
  private static final int DEFAULT_MAX_CONNECTIONS = 16_384;
  private static final int MAX_CONNECTIONS_LIMIT = 1_000_000;
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Reads the section {@code [http]}. */
  public static HttpSettings read(Section section) {
    return new HttpSettings(
        section.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1_024, MAX_BODY_BYTES_LIMIT),
        section.integer("max_connections", DEFAULT_MAX_CONNECTIONS, 1, MAX_CONNECTIONS_LIMIT),
        section.duration(
            "idle_timeout", DEFAULT_IDLE_TIMEOUT, Duration.ofSeconds(1), Duration.ofMinutes(30)));
  }
}
