package org.heatherspread.bench.routing;

/**
 * Speed and cache size of a {@link SimulatedEngine}. Immutable.
 *
 * @param baseStepMillis duration of a step without any work
 * @param prefillMillisPerToken additional time for each prompt token computed in a step
 * @param decodeMillisPerRequest additional time for each request that gets a token in a step
 * @param prefillTokensPerStep maximum number of prompt tokens computed in one step
 * @param maxBatchSize maximum number of requests in the batch
 * @param kvCacheBlocks size of the KV cache in blocks of 64 tokens, shared by running requests and
 *     cached prefixes
 */
record EngineParameters(
    double baseStepMillis,
    double prefillMillisPerToken,
    double decodeMillisPerRequest,
    int prefillTokensPerStep,
    int maxBatchSize,
    int kvCacheBlocks) {

  /**
   * Returns parameters with which the latency target (0.52 s to the first token, 33 ms between
   * tokens) is met at moderate batch sizes.
   */
  static EngineParameters typical() {
    return new EngineParameters(12, 0.05, 0.2, 256, 48, 2_000);
  }
}
