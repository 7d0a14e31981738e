package org.heatherspread.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives one answer; called on the connection's event loop. */
public interface ResponseListener {
  /** The head of the answer that belongs to the request. */
  void onHead(HttpResponse head);

  /** Bytes of the body; the receiver does not release them. */
  void onContent(ByteBuf bytes);

  /** The answer is whole. Nothing follows. */
  void onComplete();

  /** The connection broke, or what came was no answer. Nothing follows. */
  void onFailure(String reason);
}
