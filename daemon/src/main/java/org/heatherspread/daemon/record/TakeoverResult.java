package org.heatherspread.daemon.record;

/**
 * Record that this daemon has taken over and now owns. Immutable.
 *
 * @param requestRecord the record at the time of the takeover
 * @param handle write access to the record
 */
public record TakeoverResult(RequestRecord requestRecord, RecordHandle handle) {}
