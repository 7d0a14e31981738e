package org.heatherspread.core.store;

/**
 * A row of the platform's table service. Immutable.
 *
 * @param key the row's key
 * @param version grows by one with each write of the row; the first is 1
 * @param writeId random id of the write that made this version, to resolve lost answers
 * @param body JSON text
 */
public record Row(RowKey key, long version, String writeId, String body) {}
