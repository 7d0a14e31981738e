package org.heatherspread.core.retry;

import java.util.Locale;

/** Reason for a new attempt of a request. Immutable. */
public enum RetryReason {
  /** The endpoint refused the request before running it. */
  REFUSED(true),
  /** The connection to the endpoint could not be opened. */
  UNREACHABLE(true),
  /** The connection failed while the endpoint was running the request. */
  CONNECTION_LOST(true),
  /** The connection delivered no bytes, not even heartbeats. */
  SILENT(true),
  /** Heartbeats arrived but no tokens. */
  STALLED(true),
  /** The endpoint no longer holds the stream. */
  NOT_HELD(true),
  /** A frame was missing or the response ended early. */
  FRAME_GAP(true),
  /** The endpoint returned a server error. */
  ENDPOINT_ERROR(true),
  /** The endpoint is under a reclaim notice; a planned move, which the budget does not limit. */
  ENDPOINT_LEAVING(false),
  /** The daemon that served the request left and its successor continues it. */
  DAEMON_LEFT(false);

  private final boolean isBudgeted;

  RetryReason(boolean budgeted) {
    this.isBudgeted = budgeted;
  }

  /** Returns whether the retry budget limits retries for this reason. */
  public boolean isBudgeted() {
    return isBudgeted;
  }

  /** Returns the name used in logs and metric tags, such as {@code frame-gap}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
