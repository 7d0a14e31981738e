package org.heatherspread.daemon.chat;

import java.util.Optional;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Output of a session to its caller, fed by at most one engine connection at a time. Calls take
 * effect in order, after the bytes that the session has already returned.
 *
 * <p>Implementations are thread-safe.
 */
interface ResponseOutput {
  /**
   * Reads from an engine connection, which replaces the previous one.
   *
   * @param step step number passed to the session with each chunk
   * @param body event stream of the engine
   */
  void connect(int step, Source<ByteString, ?> body);

  /** Closes the engine connection. */
  void disconnect();

  /** Sends the last bytes, then completes the response or fails it with the given failure. */
  void finish(ByteString last, Optional<Throwable> failure);
}
