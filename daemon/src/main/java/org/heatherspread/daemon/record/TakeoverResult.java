package org.heatherspread.daemon.record;

/**
 * A record that this daemon now owns. Immutable.
 *
 * @param requestRecord the record as it was found
 * @param handle the new owner's hold on it
 */
public record TakeoverResult(RequestRecord requestRecord, RecordHandle handle) {}
