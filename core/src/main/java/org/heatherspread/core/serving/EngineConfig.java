package org.heatherspread.core.serving;

/**
 * What the endpoints of a model service can hold at once.
 *
 * @param slots requests that run in one batch
 * @param cacheTokens tokens that the KV cache holds
 * @param tokensPerEvent tokens in one event of a stream
 * @param supportsMigration whether runs can be moved to another endpoint with their memory
 */
public record EngineConfig(
    int slots, long cacheTokens, int tokensPerEvent, boolean supportsMigration) {}
