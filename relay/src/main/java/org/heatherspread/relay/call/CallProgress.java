package org.heatherspread.relay.call;

/**
 * How far a request has come over all its attempts. Fields are shared by a call and its attempts
 * and confined to their event loop.
 */
final class CallProgress {
  /** Times it was sent. */
  int sendCount;

  /** Endpoints that stated that they did not run it. */
  int refusalCount;

  /** Endpoints that may have run it. */
  int possibleExecutions;

  /** Whether the caller has the head of a stream. */
  boolean streamStarted;

  /** Whether it was counted as usage. */
  boolean usageCounted;

  /** Id of the last event passed on, -1 before the first. */
  long lastEventId = -1;

  /** Time from its arrival to the first part of its answer, -1 before that. */
  long firstResponseMillis = -1;
}
