package org.heatherspread.core.store;

/**
 * A row of the platform's table service. Immutable.
 *
 * @param key key of the row
 * @param version grows by one with each write of the row, from 1
 * @param writeId random id of the write that made this version; tells whether a write whose
 *     response was lost took effect
 * @param body JSON text
 */
public record Row(RowKey key, long version, String writeId, String body) {}
