package org.heatherspread.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.heatherspread.core.freshness.EraObservation;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.placement.EnginePerformanceEstimator;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.rollout.ServiceCounts;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.stream.StreamReport;

/**
 * The state that a daemon publishes to all others, in full each time. Stored as JSON under the
 * names of its components.
 *
 * @param daemon name of the daemon, unchanged by restarts
 * @param life random number of the process
 * @param address address for callers
 * @param peerAddress address for other daemons; empty if there is none
 * @param domain failure domain of the daemon
 * @param linkMbps bandwidth of its network link in Mbit/s; 0 if unknown
 * @param state whether the daemon accepts callers
 * @param sequence grows with each report
 * @param atStoreMillis time of the report on the store's clock
 * @param wallLessStoreMillis the daemon's wall clock minus the store's clock
 * @param usage number of requests that began to run, by window and client account
 * @param loads load that the daemon puts on endpoints, by endpoint id
 * @param crashes always empty; daemons of earlier versions require it
 * @param suspects evidence on what crashes endpoints, found or confirmed by this daemon
 * @param work work of each model service since the process started, in endpoint milliseconds
 * @param endpointLimits limits of endpoints that this daemon observed recently
 * @param engines estimated performance of each model service's engines
 * @param streams streams that this daemon began; null in reports of earlier versions
 * @param storeEra earliest known observation of the store's era; null in reports of earlier
 *     versions
 * @param rollouts counts for moves of services to other versions
 */
public record DaemonReport(
    String daemon,
    String life,
    String address,
    String peerAddress,
    String domain,
    double linkMbps,
    DaemonState state,
    long sequence,
    long atStoreMillis,
    long wallLessStoreMillis,
    Map<Long, Map<String, Integer>> usage,
    Map<String, EndpointLoad> loads,
    List<Object> crashes,
    List<CrashEvidence> suspects,
    Map<String, Double> work,
    List<LimitObservation> endpointLimits,
    Map<String, EnginePerformanceEstimator.Estimate> engines,
    StreamReport streams,
    EraObservation storeEra,
    List<ServiceCounts> rollouts) {
  /**
   * Checks the components and replaces those that daemons of earlier versions do not report.
   *
   * @throws NullPointerException if a required component, or an element of one, is absent
   * @throws IllegalArgumentException if the peer address cannot be parsed
   */
  public DaemonReport {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(life, "life");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(state, "state");
    usage.values().forEach(Map::copyOf);
    loads = Map.copyOf(loads);
    work = Map.copyOf(work);
    peerAddress = peerAddress == null ? "" : peerAddress;
    if (!peerAddress.isEmpty()) {
      HostPort.parse(peerAddress);
    }
    suspects = suspects == null ? List.of() : List.copyOf(suspects);
    endpointLimits = endpointLimits == null ? List.of() : List.copyOf(endpointLimits);
    rollouts = rollouts == null ? List.of() : List.copyOf(rollouts);
    engines = engines == null ? Map.of() : Map.copyOf(engines);
  }
}
