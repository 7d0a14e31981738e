package org.heatherspread.daemon.record;

import java.util.Optional;

/**
 * A request's record as some daemon keeps it. Immutable.
 *
 * @param requestId the request id
 * @param request what the record was opened with
 * @param progress how far the request is known to have come
 * @param outcome how it ended; empty while it runs
 */
public record RequestRecord(
    String requestId,
    RequestDescriptor request,
    RecordProgress progress,
    Optional<RecordOutcome> outcome) {}
