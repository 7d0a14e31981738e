package org.heatherspread.core.membership;

/**
 * A small value that a daemon spreads to all others. Immutable; the value must not be modified.
 *
 * @param topic subject of the value, such as {@code poison}
 * @param key key of the value within the topic
 * @param version the entry with the highest version of a key replaces the others
 * @param origin instance id of the daemon that published the value
 * @param value content, opaque to the exchange
 * @param expiresAtMillis expiry time, in milliseconds since the epoch
 */
@SuppressWarnings("ArrayRecordComponent")
public record SharedEntry(
    String topic, String key, long version, String origin, byte[] value, long expiresAtMillis) {}
