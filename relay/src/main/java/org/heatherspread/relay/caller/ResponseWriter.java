package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The answer to one request: either whole, or begun, continued and ended. Calls after the caller
 * has left do nothing. Confined to the connection's event loop.
 */
public interface ResponseWriter {
  /** Sends a whole answer. */
  void send(int status, HttpHeaders headers, byte[] body);

  /** Begins an answer whose length is not known. */
  void start(int status, HttpHeaders headers);

  /** Sends a part of the body. */
  void write(byte[] bytes);

  /** Ends a begun answer as complete. */
  void complete();

  /** Closes the connection, so that the answer is seen to be incomplete. */
  void abort();

  /** Tells whether the caller reads as fast as parts are sent. */
  boolean isWritable();

  /** Sets what to do when the caller leaves before the answer is complete, or has left already. */
  void onDisconnect(Runnable action);

  /** Sets what to do when the caller has caught up with the parts sent. */
  void onWritable(Runnable action);
}
