package org.heatherspread.core.store;

/**
 * The key of a row in the platform's table service: a partition and a sort key within it.
 * Immutable.
 */
public record RowKey(String partition, String sort) {}
