package org.heatherspread.daemon.settings;

import java.time.Duration;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.settings.Section;

/**
 * Identity and addresses of this daemon. Immutable.
 *
 * @param id the platform's id of the daemon's instance
 * @param domain the failure domain of the instance
 * @param host IP address to listen on and to advertise
 * @param httpPort port for callers and operators
 * @param peerPort port for other daemons
 * @param drainTimeout maximum time that a planned stop waits for work in progress
 */
public record DaemonSettings(
    String id,
    FailureDomain domain,
    String host,
    int httpPort,
    int peerPort,
    Duration drainTimeout) {
  private static final int MAX_PORT = 65_535;
  private static final int DEFAULT_HTTP_PORT = 8_080;
  private static final int DEFAULT_PEER_PORT = 8_081;
  private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);

  /** Reads the section {@code [daemon]}. */
  public static DaemonSettings read(Section section) {
    String id = section.text("id");
    FailureDomain domain = new FailureDomain(section.text("region"), section.text("domain"));
    DaemonSettings settings =
        new DaemonSettings(
            id,
            domain,
            section.text("host", "127.0.0.1"),
            section.integer("http_port", DEFAULT_HTTP_PORT, 1, MAX_PORT),
            section.integer("peer_port", DEFAULT_PEER_PORT, 1, MAX_PORT),
            section.duration(
                "drain_timeout",
                DEFAULT_DRAIN_TIMEOUT,
                Duration.ofSeconds(1),
                Duration.ofMinutes(30)));
    if (settings.httpPort == settings.peerPort) {
      section.addProblem("peer_port", "must differ from http_port");
    }
    return settings;
  }
}
