package org.heatherspread.core.retry;

import java.util.Locale;

/** Why a request is sent to an endpoint once more. Immutable. */
public enum RetryReason {
  /** The endpoint refused before running. */
  REFUSED(true),
  /** The endpoint could not be connected to. */
  UNREACHABLE(true),
  /** The connection broke while the endpoint was running the request. */
  CONNECTION_LOST(true),
  /** The connection delivered nothing, not even heartbeats. */
  SILENT(true),
  /** Heartbeats came but no token did. */
  STALLED(true),
  /** The endpoint no longer holds the stream. */
  NOT_HELD(true),
  /** A frame was missing or the answer ended early. */
  FRAME_GAP(true),
  /** The endpoint answered with a server error. */
  ENDPOINT_ERROR(true),
  /** The endpoint is under notice; a planned move, which the budget does not limit. */
  ENDPOINT_LEAVING(false),
  /** The daemon that served the request left; its successor goes on. */
  DAEMON_LEFT(false);

  private final boolean isBudgeted;

  RetryReason(boolean budgeted) {
    this.isBudgeted = budgeted;
  }

  /** Tells whether the retry budget limits retries for this reason. */
  public boolean isBudgeted() {
    return isBudgeted;
  }

  /** Returns the name in logs and metric tags, such as {@code frame-gap}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
