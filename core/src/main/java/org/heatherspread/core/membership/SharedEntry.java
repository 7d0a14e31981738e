package org.heatherspread.core.membership;

/**
 * One small value that a daemon spreads to all others. Immutable; the value must not be changed.
 *
 * @param topic what the value is about, such as {@code poison}
 * @param key the value's key within the topic
 * @param version the highest version of a key holds
 * @param origin instance id of the daemon that published it
 * @param value opaque to the exchange
 * @param expiresAtMillis when it is forgotten, in milliseconds since the epoch
 */
@SuppressWarnings("ArrayRecordComponent")
public record SharedEntry(
    String topic, String key, long version, String origin, byte[] value, long expiresAtMillis) {}
