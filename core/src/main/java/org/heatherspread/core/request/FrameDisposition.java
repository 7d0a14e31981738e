package org.heatherspread.core.request;

import java.util.Locale;

/** How a received frame is handled. */
public enum FrameDisposition {
  /** Next in order: forward it to the caller. */
  DELIVER,
  /** Finish reason or token counts: hold it back until the end marker arrives. */
  HOLD,
  /** The end marker at the expected offset: forward the held frames; the response is complete. */
  COMPLETE,
  /** Belongs to another request: drop it. */
  CROSSED,
  /** Belongs to an earlier attempt: drop it. */
  OLD_ATTEMPT,
  /** Already delivered: drop it. */
  REPEATED,
  /** Preceding frames are missing: drop it. Repeated gaps replace the connection. */
  GAP,
  /** Arrived after the end of the request: drop it. */
  LATE;

  /** Returns whether the frame is dropped. */
  public boolean isDropped() {
    return this != DELIVER && this != HOLD && this != COMPLETE;
  }

  /** Returns the name used in logs and metric tags, such as {@code old-attempt}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
