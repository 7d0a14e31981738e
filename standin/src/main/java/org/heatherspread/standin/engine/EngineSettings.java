package org.heatherspread.standin.engine;

import java.util.List;

/**
 * The settings of a stand-in engine. Immutable.
 *
 * @param id id of the instance on the platform
 * @param incarnation number that increases with each start of the process
 * @param models model versions loaded at start, as {@code SERVICE@VERSION}; {@code *} accepts any
 * @param stepMillis duration of a decoding step
 * @param maxBatch maximum number of requests in a batch
 * @param maxWaiting maximum number of waiting requests; further ones are refused
 * @param prefillTokensPerStep prompt and answer tokens computed in a step, over all requests
 * @param maxContextTokens maximum number of prompt and answer tokens of a request
 * @param cacheBlocks capacity of the prefix cache in blocks
 * @param kvBytesPerToken size of the KV cache of one token
 * @param kvBytesPerSecond bandwidth of a KV cache transfer
 * @param loadMillis time to load a model version
 * @param checksFencing whether orders with a stale fencing token are rejected
 * @param metricsLagMillis interval of load reports, and so their maximum age
 * @param eventDelayMillis delay until a cache event becomes visible
 * @param eventLossProbability probability that a cache event is lost
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
  /** Copies the list of models. */
  public EngineSettings {
    models = List.copyOf(models);
  }
}
