package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param target path and query, unchanged
 * @param body body, not copied; must not be modified
 * @param connection id of the connection in logs
 * @param receivedAtMillis time at which the head was received, on the monotonic clock
 */
public record CallerRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    String connection,
    long receivedAtMillis) {}
