package org.heatherspread.daemon.record;

import java.util.Optional;

/**
 * Record of a request as held by one daemon. Immutable.
 *
 * @param requestId id of the request
 * @param request the request as it was accepted
 * @param progress last known progress
 * @param outcome outcome of the request; empty while it runs
 */
public record RequestRecord(
    String requestId,
    RequestDescriptor request,
    RecordProgress progress,
    Optional<RecordOutcome> outcome) {}
