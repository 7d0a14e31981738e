package org.heatherspread.relay.endpoint;

/**
 * How connections are opened and kept.
 *
 * @param connectTimeoutMillis time after which an opening connection is given up
 * @param maxIdleMillis longest time without use after which a connection is used again
 */
public record PoolSettings(int connectTimeoutMillis, long maxIdleMillis) {}
