package org.heatherspread.core.request;

/** Type of an event in the stream of a model engine. */
public enum FrameKind {
  /** The first event: carries the role and no token. */
  OPENING,
  /** One token of the response. */
  TOKEN,
  /** The finish reason. */
  FINISH,
  /** The token counts. */
  USAGE,
  /** The end marker. */
  END
}
