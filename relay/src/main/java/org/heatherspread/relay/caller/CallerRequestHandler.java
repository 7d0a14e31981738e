package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Handles requests of callers. Called on the event loop of the server. */
@FunctionalInterface
public interface CallerRequestHandler {
  /** Handles a request; exactly one response must be written, on the same event loop. */
  void handle(CallerRequest request, ResponseWriter responseWriter);

  /**
   * Refuses a request as there is no memory for its body; a response that tells when to retry must
   * be written before this method returns.
   *
   * @param head the request without its body
   */
  default void refuseBody(CallerRequest head, ResponseWriter responseWriter) {
    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, "1");
    responseWriter.send(503, headers, new byte[0]);
  }

  /**
   * Returns whether the handler needs the bodies of requests. If it only answers probes, they are
   * read and discarded, and its listener accepts some connections beyond the maximum.
   */
  default boolean usesBody() {
    return true;
  }
}
