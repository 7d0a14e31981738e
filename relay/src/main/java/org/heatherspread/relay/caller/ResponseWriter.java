package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Writes the response to one request, either complete or as a stream of chunks. Writes have no
 * effect after the response is complete or the caller has disconnected; a second head is not
 * written and closes the connection. Confined to the connection's event loop.
 */
public interface ResponseWriter {
  /** Sends a complete response. */
  void send(int status, HttpHeaders headers, byte[] body);

  /** Starts a response of unknown length. */
  void start(int status, HttpHeaders headers);

  /** Writes a chunk of the body. */
  void write(byte[] bytes);

  /** Completes a started response. */
  void complete();

  /** Closes the connection, which shows the caller that the response is incomplete. */
  void abort();

  /** Returns whether the caller keeps up with the data written. */
  boolean isWritable();

  /**
   * Sets the action to run if the caller disconnects before the response is complete. Runs at once
   * if the caller has disconnected already.
   */
  void onDisconnect(Runnable action);

  /** Sets the action to run when the caller has caught up with the data written. */
  void onWritable(Runnable action);
}
