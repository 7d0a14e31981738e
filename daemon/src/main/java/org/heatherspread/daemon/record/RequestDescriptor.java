package org.heatherspread.daemon.record;

import java.time.Instant;

/**
 * Properties of a request that are fixed when its record is opened. Immutable; the body must not be
 * modified.
 *
 * @param account name of the client account
 * @param service name of the service
 * @param version selected model version; empty for a plain service
 * @param body request body as sent by the caller
 * @param repeatable whether the request may be sent again after it may have run
 * @param deadline time after which a response is of no use to the caller
 */
@SuppressWarnings("ArrayRecordComponent")
public record RequestDescriptor(
    String account,
    String service,
    String version,
    byte[] body,
    boolean repeatable,
    Instant deadline) {}
