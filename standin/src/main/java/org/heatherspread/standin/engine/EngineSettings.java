package org.heatherspread.standin.engine;

import java.util.List;

/**
 * How a stand-in engine behaves. Immutable.
 *
 * @param id the platform's id of the instance
 * @param incarnation grows each time the process starts anew
 * @param models loaded at start, as {@code SERVICE@VERSION}; {@code *} accepts any
 * @param stepMillis time of one decoding step
 * @param maxBatch requests that run at once
 * @param maxWaiting requests that wait before others are refused
 * @param prefillTokens prompt and answer tokens computed in one step, over all requests
 * @param contextTokens longest prompt and answer
 * @param cacheBlocks prefix blocks that the cache holds
 * @param kvBytesPerToken size of the KV cache of one token
 * @param kvBytesPerSecond bandwidth of a KV transfer
 * @param loadMillis time to load one model version
 * @param checksFencing whether orders with an old fencing number are refused
 * @param metricsLagMillis age that the load figures may reach
 * @param eventDelayMillis delay before a cache event can be seen
 * @param eventGap probability that a cache event is lost
 * @param seed seed of the random faults
 */
public record EngineSettings(
    String id,
    long incarnation,
    List<String> models,
    int stepMillis,
    int maxBatch,
    int maxWaiting,
    int prefillTokensPerStep,
    int maxContextTokens,
    int cacheBlocks,
    int kvBytesPerToken,
    long kvBytesPerSecond,
    int loadMillis,
    boolean checksFencing,
    int metricsLagMillis,
    int eventDelayMillis,
    double eventLossProbability,
    long seed) {
  /** Copies the list, so that the record stays immutable. */
  public EngineSettings {
    models = List.copyOf(models);
  }
}
