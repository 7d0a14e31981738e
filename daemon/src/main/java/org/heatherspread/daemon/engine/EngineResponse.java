package org.heatherspread.daemon.engine;

import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;

/** What an engine answered to a start or resume. Immutable. */
public sealed interface EngineResponse {
  /**
   * The engine took the request.
   *
   * @param body the stream of events; must be run once or cancelled
   */
  record Accepted(Source<ByteString, ?> body) implements EngineResponse {}

  /**
   * The engine answered that it will never serve this request.
   *
   * @param kind the error for the caller
   * @param detail a sentence for the caller
   */
  record Rejected(ErrorKind kind, String detail) implements EngineResponse {}
}
