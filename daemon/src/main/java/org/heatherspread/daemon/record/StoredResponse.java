package org.heatherspread.daemon.record;

/**
 * Response stored for a repeated request. Immutable; the body must not be modified.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, String contentType, byte[] body) {}
