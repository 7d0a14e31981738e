package org.heatherspread.core.permit;

import org.heatherspread.core.record.RequestId;

/**
 * Entitles a client account to one call, run by the owner that the request id names. Immutable.
 *
 * @param id request id of the call
 * @param account client account that may use the permit
 * @param expiresAtMillis expiry in milliseconds since the epoch
 */
public record ExecutionPermit(RequestId id, String account, long expiresAtMillis) {}
