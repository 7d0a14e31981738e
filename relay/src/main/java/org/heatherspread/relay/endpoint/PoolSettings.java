package org.heatherspread.relay.endpoint;

/**
 * Settings of a connection pool.
 *
 * @param connectTimeoutMillis time limit for opening a connection
 * @param maxIdleMillis idle time up to which a connection is reused
 */
public record PoolSettings(int connectTimeoutMillis, long maxIdleMillis) {}
