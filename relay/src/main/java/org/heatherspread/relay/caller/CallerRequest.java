package org.heatherspread.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a caller.
 *
 * @param target path and query, unchanged
 * @param content body, owned by the connection until the response is complete or the caller has
 *     disconnected; must not be modified
 * @param connection id of the connection in logs
 * @param receivedAtMillis time at which the head was received, on the monotonic clock
 */
public record CallerRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    ByteBuf content,
    String connection,
    long receivedAtMillis) {
  /** Creates a request with a body that needs no release. */
  public CallerRequest(
      HttpMethod method,
      String target,
      HttpHeaders headers,
      byte[] body,
      String connection,
      long receivedAtMillis) {
    this(
        method,
        target,
        headers,
        Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(body)),
        connection,
        receivedAtMillis);
  }

  /** Returns a copy of the body. */
  public byte[] body() {
    return ByteBufUtil.getBytes(content);
  }
}
