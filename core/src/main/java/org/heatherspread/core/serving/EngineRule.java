package org.heatherspread.core.serving;

/**
 * What the endpoints of a model service can hold at once.
 *
 * @param slots requests that run in one batch
 * @param cacheTokens tokens that the KV cache holds
 * @param eventTokens tokens in one event of a stream
 */
public record EngineRule(int slots, long cacheTokens, int eventTokens) {}
