package org.heatherspread.bench.routing;

/**
 * Speed and memory of a modelled model engine. Immutable.
 *
 * @param baseMillis time of a step without any work
 * @param prefillMillisPerToken added for each prompt token computed in a step
 * @param decodeMillisPerRequest added for each request that gets a token in a step
 * @param chunkTokens most prompt tokens computed in one step
 * @param maxBatch most requests in the batch
 * @param cacheBlocks KV cache, in blocks of 64 tokens, shared by running requests and prefixes
 */
record EngineParameters(
    double baseStepMillis,
    double prefillMillisPerToken,
    double decodeMillisPerRequest,
    int prefillTokensPerStep,
    int maxBatchSize,
    int kvCacheBlocks) {

  /** Returns an engine that meets the users' target of 0.52 s and 33 ms with a moderate batch. */
  static EngineParameters typical() {
    return new EngineParameters(12, 0.05, 0.2, 256, 48, 2_000);
  }
}
