package org.heatherspread.daemon.control;

import java.util.List;
import java.util.Optional;

/**
 * One daemon as operators see it. Immutable.
 *
 * @param id instance id
 * @param incarnation its start
 * @param region region that holds it
 * @param domain failure domain that holds it
 * @param configVersion the configuration in force
 * @param daemons daemons it believes alive
 * @param endpoints endpoints it believes alive
 * @param leases control work it holds the lease of
 * @param notReadyBecause why it takes no new work, if so
 * @param draining whether it is stopping
 */
public record DaemonStatus(
    String id,
    long incarnation,
    String region,
    String domain,
    long configVersion,
    long daemons,
    long endpoints,
    List<String> leases,
    Optional<String> notReadyBecause,
    boolean draining) {
  /** Copies the list, so that the record stays immutable. */
  public DaemonStatus {
    leases = List.copyOf(leases);
  }
}
