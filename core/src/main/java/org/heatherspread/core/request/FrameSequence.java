package org.heatherspread.core.request;

/**
 * Checks the order of the frames of one response and decides for each frame whether it is the next
 * one. The offset never decreases across attempts, so that no token is delivered twice or skipped.
 *
 * <p>Not thread-safe; owned by one {@link RequestStateMachine}.
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

  /** Accepts only frames of the given attempt from now on, and requires a new finish event. */
  void expectAttempt(int nextAttempt) {
    attempt = nextAttempt;
    finishSeen = false;
  }

  /** Returns the number of tokens delivered so far. */
  long offset() {
    return offset;
  }

  /** Classifies a frame and advances the sequence if the frame is the next one. */
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
