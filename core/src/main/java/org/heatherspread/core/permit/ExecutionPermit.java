package org.heatherspread.core.permit;

import org.heatherspread.core.record.RequestId;

/**
 * The right of a client account to have the owner named in the request id run one call. Immutable.
 *
 * @param id the id that the call will have
 * @param account the client account that may use it
 * @param expiresAtMillis when it can no longer be used, in milliseconds since the epoch
 */
public record ExecutionPermit(RequestId id, String account, long expiresAtMillis) {}
