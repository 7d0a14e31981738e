package org.heatherspread.core.store;

/**
 * A row of a shared table as the store returned it. The value is not copied and must not be
 * changed.
 *
 * @param version the store's number of the transaction that wrote the row
 * @param deleted whether the row was dropped; then the value is empty
 */
public record SharedRow(String key, byte[] value, long version, boolean deleted) {}
