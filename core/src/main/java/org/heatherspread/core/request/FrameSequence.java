package org.heatherspread.core.request;

/**
 * Puts the frames of one answer in order: decides for each whether it is the next one. Across
 * attempts the offset only grows, so that no token is delivered twice or left out.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestStateMachine}.
 */
final class FrameSequence {
  private int attempt;
  private long offset;
  private boolean openingDelivered;
  private boolean finishSeen;
  private boolean endSeen;

  FrameSequence(int attempt, long offset) {
    this.attempt = attempt;
    this.offset = offset;
    this.openingDelivered = offset > 0;
  }

  /** Frames of this attempt count from now on; what was held of the old end is forgotten. */
  void expectAttempt(int nextAttempt) {
    attempt = nextAttempt;
    finishSeen = false;
  }

  /** Tokens delivered so far. */
  long offset() {
    return offset;
  }

  /** Judges a frame and, if it is next, moves on. */
  FrameDisposition evaluate(
      boolean sameRequest, int frameAttempt, long frameOffset, FrameKind kind) {
    if (!sameRequest) {
      return FrameDisposition.CROSSED;
    }
    if (endSeen) {
      return FrameDisposition.LATE;
    }
    if (frameAttempt != attempt) {
      return FrameDisposition.OLD_ATTEMPT;
    }
    return switch (kind) {
      case OPENING -> evaluateOpening(frameOffset);
      case TOKEN -> evaluateToken(frameOffset);
      case FINISH, USAGE -> evaluateFinishOrUsage(frameOffset, kind);
      case END -> evaluateEnd(frameOffset);
    };
  }

  private FrameDisposition evaluateOpening(long frameOffset) {
    if (openingDelivered || frameOffset != offset) {
      return FrameDisposition.REPEATED;
    }
    openingDelivered = true;
    return FrameDisposition.DELIVER;
  }

  private FrameDisposition evaluateToken(long frameOffset) {
    if (frameOffset <= offset) {
      return FrameDisposition.REPEATED;
    }
    if (frameOffset > offset + 1 || finishSeen) {
      return FrameDisposition.GAP;
    }
    offset = frameOffset;
    openingDelivered = true;
    return FrameDisposition.DELIVER;
  }

  private FrameDisposition evaluateFinishOrUsage(long frameOffset, FrameKind kind) {
    if (frameOffset < offset) {
      return FrameDisposition.REPEATED;
    }
    if (frameOffset > offset || kind == FrameKind.USAGE && !finishSeen) {
      return FrameDisposition.GAP;
    }
    if (kind == FrameKind.FINISH && finishSeen) {
      return FrameDisposition.REPEATED;
    }
    finishSeen = true;
    return FrameDisposition.HOLD;
  }

  private FrameDisposition evaluateEnd(long frameOffset) {
    if (frameOffset < offset) {
      return FrameDisposition.REPEATED;
    }
    if (frameOffset > offset || !finishSeen) {
      return FrameDisposition.GAP;
    }
    endSeen = true;
    return FrameDisposition.COMPLETE;
  }
}
