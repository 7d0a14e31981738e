package org.heatherspread.core.request;

/**
 * Puts the frames of one answer in order: decides for each whether it is the next one. Across
 * attempts the offset only grows, so that no token is delivered twice or left out.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestMachine}.
 */
final class FrameSequence {
  private int attempt;
  private long offset;
  private boolean opened;
  private boolean finishHeld;
  private boolean ended;

  FrameSequence(int attempt, long offset) {
    this.attempt = attempt;
    this.offset = offset;
    this.opened = offset > 0;
  }

  /** Frames of this attempt count from now on; what was held of the old end is forgotten. */
  void expect(int nextAttempt) {
    attempt = nextAttempt;
    finishHeld = false;
  }

  /** Tokens delivered so far. */
  long offset() {
    return offset;
  }

  /** Judges a frame and, if it is next, moves on. */
  FrameVerdict offer(boolean sameRequest, int frameAttempt, long frameOffset, FrameKind kind) {
    if (!sameRequest) {
      return FrameVerdict.CROSSED;
    }
    if (ended) {
      return FrameVerdict.LATE;
    }
    if (frameAttempt != attempt) {
      return FrameVerdict.OLD_ATTEMPT;
    }
    return switch (kind) {
      case OPENING -> open(frameOffset);
      case TOKEN -> token(frameOffset);
      case FINISH, USAGE -> hold(frameOffset, kind);
      case END -> end(frameOffset);
    };
  }

  private FrameVerdict open(long frameOffset) {
    if (opened || frameOffset != offset) {
      return FrameVerdict.REPEATED;
    }
    opened = true;
    return FrameVerdict.DELIVER;
  }

  private FrameVerdict token(long frameOffset) {
    if (frameOffset <= offset) {
      return FrameVerdict.REPEATED;
    }
    if (frameOffset > offset + 1 || finishHeld) {
      return FrameVerdict.GAP;
    }
    offset = frameOffset;
    opened = true;
    return FrameVerdict.DELIVER;
  }

  private FrameVerdict hold(long frameOffset, FrameKind kind) {
    if (frameOffset < offset) {
      return FrameVerdict.REPEATED;
    }
    if (frameOffset > offset || kind == FrameKind.USAGE && !finishHeld) {
      return FrameVerdict.GAP;
    }
    if (kind == FrameKind.FINISH && finishHeld) {
      return FrameVerdict.REPEATED;
    }
    finishHeld = true;
    return FrameVerdict.HOLD;
  }

  private FrameVerdict end(long frameOffset) {
    if (frameOffset < offset) {
      return FrameVerdict.REPEATED;
    }
    if (frameOffset > offset || !finishHeld) {
      return FrameVerdict.GAP;
    }
    ended = true;
    return FrameVerdict.COMPLETE;
  }
}
