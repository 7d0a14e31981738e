package org.heatherspread.core.queue;

/**
 * A request in a queue. Confined to one thread.
 *
 * @param <T> type of the request
 */
final class QueueEntry<T> {
  final T item;
  final QueuedRequest request;
  final long offeredMillis;

  /** Whether the request can no longer meet its target. */
  boolean late;

  /** Whether the request is in the queue. */
  boolean queued = true;

  QueueEntry(T item, QueuedRequest request, long offeredMillis) {
    this.item = item;
    this.request = request;
    this.offeredMillis = offeredMillis;
  }

  double work() {
    return request.workMillis();
  }
}
