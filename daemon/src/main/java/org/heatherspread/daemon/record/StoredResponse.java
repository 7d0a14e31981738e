package org.heatherspread.daemon.record;

/**
 * An answer kept for a caller that asks again. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, String contentType, byte[] body) {}
