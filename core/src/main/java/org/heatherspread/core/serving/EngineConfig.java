package org.heatherspread.core.serving;

/**
 * Properties of the inference engines behind a model service. Immutable.
 *
 * @param slots maximum number of requests in one batch
 * @param cacheTokens capacity of the KV cache in tokens
 * @param tokensPerEvent tokens in one event of a stream
 * @param supportsMigration whether a running request can be moved to another endpoint together with
 *     its KV cache
 */
public record EngineConfig(
    int slots, long cacheTokens, int tokensPerEvent, boolean supportsMigration) {}
