package org.heatherspread.core.store;

/**
 * A row of a shared table as returned by the store. The value is not copied and must not be
 * modified.
 *
 * @param version number of the store transaction that wrote the row
 * @param deleted whether the row was deleted; the value is then empty
 */
public record SharedRow(String key, byte[] value, long version, boolean deleted) {}
