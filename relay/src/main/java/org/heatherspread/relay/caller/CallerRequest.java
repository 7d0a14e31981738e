package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as a caller sent it, read to its end.
 *
 * @param target path and query, unchanged
 * @param body the whole body; must not be changed
 * @param arrivedMillis when its head had arrived, on the monotonic clock
 */
public record CallerRequest(
    HttpMethod method, String target, HttpHeaders headers, byte[] body, long receivedAtMillis) {}
