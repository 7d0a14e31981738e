package org.heatherspread.core.serving;

/**
 * What the endpoints of a model service can hold at once.
 *
 * @param slots requests that run in one batch
 * @param cacheTokens tokens that the KV cache holds
 * @param eventTokens tokens in one event of a stream
 * @param movesRuns whether runs can be moved to another endpoint with their memory
 */
public record EngineRule(int slots, long cacheTokens, int eventTokens, boolean movesRuns) {}
