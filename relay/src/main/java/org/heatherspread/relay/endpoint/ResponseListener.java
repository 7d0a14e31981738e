package org.heatherspread.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request. Called on the connection's event loop. */
public interface ResponseListener {
  /** Called with the head of the response to the request. */
  void onHead(HttpResponse head);

  /** Called with bytes of the body, which the listener must not release. */
  void onContent(ByteBuf bytes);

  /**
   * Called when the response has its length; returns whether it may have been completed by the
   * begin of another response, so that further bytes prove that it is not whole.
   */
  default boolean mayEndWithinAnotherResponse() {
    return false;
  }

  /** Called when the response is complete; no call follows. */
  void onComplete();

  /** Called if the connection failed or the response is invalid; no call follows. */
  void onFailure(String reason);
}
