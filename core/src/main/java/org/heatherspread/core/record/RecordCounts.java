package org.heatherspread.core.record;

/**
 * Counts of a record table. Immutable.
 *
 * @param records records held now
 * @param responseBytes bytes of responses held now
 * @param evicted records evicted after their retention, since the start
 * @param droppedResponses responses not stored because they exceeded a limit, since the start
 */
public record RecordCounts(int records, long responseBytes, long evicted, long droppedResponses) {}
