package org.heatherspread.core.fleet;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.poison.Evidence;

/**
 * What a daemon tells all others about itself, in full each time.
 *
 * @param daemon name, the same over restarts
 * @param life random number of the process
 * @param address where callers connect
 * @param peerAddress where other daemons connect, empty if nowhere
 * @param domain its failure domain
 * @param linkMbps bandwidth of its link in Mbit/s, 0 if not known
 * @param state whether it takes callers
 * @param sequence grows with each report
 * @param atStoreMillis the store's clock when the report was made
 * @param wallLessStoreMillis its time of day less the store's clock
 * @param usage requests that began to run, by window and client account
 * @param loads the load that it puts on endpoints, by endpoint id
 * @param crashes requests that were running when endpoints crashed
 * @param work work of each model service since the start, in milliseconds of one endpoint
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
    List<Evidence> crashes,
    Map<String, Double> work) {
  /** Takes an address that is not stated as none. */
  public DaemonReport {
    peerAddress = peerAddress == null ? "" : peerAddress;
  }
}
