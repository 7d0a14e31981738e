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
 * @param domain its failure domain
 * @param state whether it takes callers
 * @param sequence grows with each report
 * @param atStoreMillis the store's clock when the report was made
 * @param wallLessStoreMillis its time of day less the store's clock
 * @param usage requests that began to run, by window and client account
 * @param accounts its part in the limits of client accounts
 * @param loads the load that it puts on endpoints, by endpoint id
 * @param crashes requests that were running when endpoints crashed
 * @param work work of each model service since the start, in milliseconds of one endpoint
 */
public record DaemonReport(
    String daemon,
    String life,
    String address,
    String domain,
    DaemonState state,
    long sequence,
    long atStoreMillis,
    long wallLessStoreMillis,
    Map<Long, Map<String, Integer>> usage,
    Map<String, AccountShare> accounts,
    Map<String, EndpointLoad> loads,
    List<Evidence> crashes,
    Map<String, Double> work) {}
