package org.heatherspread.daemon.chat;

import java.util.Optional;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * The caller's end of a session: reads from one engine connection at a time. Calls take effect in
 * their order, after what the session already returned.
 *
 * <p>Implementations are safe for use by any thread.
 */
interface ResponseOutput {
  /** Reads from a connection, in place of the one before it. */
  void connect(int step, Source<ByteString, ?> body);

  /** Closes the connection. */
  void disconnect();

  /** Sends the last bytes and ends, whole or with a failure. */
  void finish(ByteString last, Optional<Throwable> failure);
}
