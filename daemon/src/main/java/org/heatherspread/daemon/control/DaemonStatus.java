package org.heatherspread.daemon.control;

import java.util.List;
import java.util.Optional;

/**
 * The status of a daemon in the operator API. Immutable.
 *
 * @param id instance id
 * @param incarnation number of its current run; increases with each start
 * @param region region in which it runs
 * @param domain failure domain in which it runs
 * @param configVersion version of its current configuration
 * @param daemons number of daemons that accept new work in its local view
 * @param endpoints number of endpoints that accept new work in its local view
 * @param leases names of the leases that it holds
 * @param notReadyBecause reason why it accepts no new work, if there is one
 * @param draining whether it is leaving
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
  /** Copies the list. */
  public DaemonStatus {
    leases = List.copyOf(leases);
  }
}
