package org.heatherspread.core.record;

/**
 * How full a table of records is and what it gave up. Immutable.
 *
 * @param records records kept now
 * @param responseBytes bytes of answers kept now
 * @param evicted records forgotten after their retention, since the start
 * @param droppedResponses answers not kept because they were over a limit, since the start
 */
public record RecordCounts(int records, long responseBytes, long evicted, long droppedResponses) {}
