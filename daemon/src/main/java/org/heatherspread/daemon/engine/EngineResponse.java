package org.heatherspread.daemon.engine;

import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;

/** Response of an engine to a start or resume. Immutable. */
public sealed interface EngineResponse {
  /**
   * The engine accepted the request.
   *
   * @param body event stream; must be run once or cancelled
   */
  record Accepted(Source<ByteString, ?> body) implements EngineResponse {}

  /**
   * The engine permanently rejected the request.
   *
   * @param kind error kind for the caller
   * @param detail error message for the caller
   */
  record Rejected(ErrorKind kind, String detail) implements EngineResponse {}
}
