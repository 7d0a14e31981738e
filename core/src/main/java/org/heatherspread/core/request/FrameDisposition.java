package org.heatherspread.core.request;

import java.util.Locale;

/** What becomes of one frame. */
public enum FrameDisposition {
  /** Next in order: pass it on. */
  DELIVER,
  /** Part of the end of the answer: keep it until the end marker has come. */
  HOLD,
  /** The end marker at the right offset: pass on what was held; the answer is whole. */
  COMPLETE,
  /** Of another request: drop it. */
  CROSSED,
  /** Of an attempt that is no longer the current one: drop it. */
  OLD_ATTEMPT,
  /** Already delivered: drop it. */
  REPEATED,
  /** Frames before it are missing: drop it, and replace the connection. */
  GAP,
  /** After the end of the request: drop it. */
  LATE;

  /** Tells whether the frame is dropped. */
  public boolean isDropped() {
    return this != DELIVER && this != HOLD && this != COMPLETE;
  }

  /** Returns the name in logs and metric tags, such as {@code old-attempt}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
