package org.heatherspread.core.request;

/** What one event of an engine's stream holds. */
public enum FrameKind {
  /** The opening event, with a role and no token. */
  OPENING,
  /** One token of the answer. */
  TOKEN,
  /** The reason why the answer ended. */
  FINISH,
  /** The token counts. */
  USAGE,
  /** The end marker. */
  END
}
