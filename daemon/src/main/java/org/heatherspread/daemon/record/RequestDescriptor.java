package org.heatherspread.daemon.record;

import java.time.Instant;

/**
 * What a request's record is opened with. Immutable; the body must not be changed.
 *
 * @param account name of the client account
 * @param service name of the service
 * @param version the model version chosen, or empty for a plain service
 * @param body the request body as the caller sent it
 * @param repeatable whether a call that may have run may be sent again
 * @param deadline when the answer is no longer useful
 */
@SuppressWarnings("ArrayRecordComponent")
public record RequestDescriptor(
    String account,
    String service,
    String version,
    byte[] body,
    boolean repeatable,
    Instant deadline) {}
