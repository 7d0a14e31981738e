package org.heatherspread.daemon.engine;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Settings of the connections to model engines. Immutable.
 *
 * @param maxConnectionsPerEndpoint maximum number of connections to an endpoint; each open stream
 *     uses one
 * @param connectTimeout maximum time to open a connection
 * @param idleTimeout time without data after which a connection is closed; must exceed the silence
 *     timeout of a stream
 */
public record EngineClientSettings(
    int maxConnectionsPerEndpoint, Duration connectTimeout, Duration idleTimeout) {
  private static final int DEFAULT_CONNECTIONS = 1_024;
  private static final int MAX_CONNECTIONS = 16_384;
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(10);
  private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

  /** Returns the default settings. */
  public static EngineClientSettings defaults() {
    return new EngineClientSettings(
        DEFAULT_CONNECTIONS, DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT);
  }

  /** Reads the settings from the section {@code engines}. */
  public static EngineClientSettings read(Section section) {
    return new EngineClientSettings(
        section.integer("connections_per_endpoint", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
        section.duration("connect", DEFAULT_CONNECT_TIMEOUT, MIN_TIMEOUT, MAX_TIMEOUT),
        section.duration("idle", DEFAULT_IDLE_TIMEOUT, MIN_TIMEOUT, MAX_TIMEOUT));
  }
}
