package org.heatherspread.relay.call;

import org.heatherspread.core.stream.EventSequence;
import org.heatherspread.core.stream.StreamOrigin;

/**
 * Progress of a request over all its attempts. Shared by a call and its attempts, and confined to
 * their event loop.
 */
final class CallProgress {
  /** Number of times the request was sent. */
  int sendCount;

  /** Number of endpoints that declared the request not executed. */
  int refusalCount;

  /** Number of endpoints whose limits did not admit the request. */
  int limitedCount;

  /** Number of endpoints to which no connection could be opened. */
  int unreachableCount;

  /** Number of endpoints that may have executed the request. */
  int possibleExecutions;

  /** Whether the head of a streamed response was sent to the caller. */
  boolean streamStarted;

  /** Where the first event came from, in an earlier attempt if a stream is resumed; null before. */
  StreamOrigin origin;

  /** Whether the request was counted as usage of its account. */
  boolean usageCounted;

  /** Random number that selects the version of the endpoints, -1 before it is drawn. */
  double versionDraw = -1;

  /** Position of the caller in the stream. */
  final EventSequence events;

  /** Time from the receipt of the request to the start of its response, -1 before the response. */
  long firstResponseMillis = -1;

  /** Time for which the request was queued. */
  long waitedMillis;

  /** Number of requests before this one when it was queued last, -1 if it never was. */
  int queuePosition = -1;

  CallProgress(EventSequence events) {
    this.events = events;
  }
}
