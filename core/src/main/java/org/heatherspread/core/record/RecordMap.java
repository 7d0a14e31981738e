package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Bounded map of call records, used by the record tables.
 *
 * <p>Invariant: the time of the map never decreases, a call is admitted only before its expiry, and
 * its record is evicted only after it. An id that was recorded once is therefore never admitted
 * again, even if the wall clock is set back. Not thread-safe; guarded by the lock of the table.
 */
final class RecordMap {
  private record Expiry(long atMillis, RequestId id) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private final Map<RequestId, CallRecord> records = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();
  private final InstantSource clock;
  private final RecordLimits limits;
  private long nowMillis;
  private long responseBytes;
  private long evicted;
  private long droppedResponses;

  RecordMap(InstantSource clock, RecordLimits limits) {
    this.clock = clock;
    this.limits = limits;
    this.nowMillis = clock.millis();
  }

  /** Advances the time of the map and evicts records past their retention. */
  void advanceTime() {
    nowMillis = Math.max(nowMillis, clock.millis());
    long evictBefore = nowMillis - limits.retention().toMillis();
    while (!expiries.isEmpty() && expiries.peek().atMillis() < evictBefore) {
      CallRecord callRecord = records.remove(expiries.poll().id());
      responseBytes -= callRecord.responseBytes();
      evicted++;
    }
  }

  long nowMillis() {
    return nowMillis;
  }

  boolean isExpired(CallDescriptor call) {
    return call.expiresAtMillis() <= nowMillis;
  }

  boolean isFull() {
    return records.size() >= limits.capacity();
  }

  CallRecord get(RequestId id) {
    return records.get(id);
  }

  void put(CallDescriptor call, CallRecord callRecord) {
    records.put(call.id(), callRecord);
    expiries.add(new Expiry(call.expiresAtMillis(), call.id()));
  }

  /**
   * Ends a call. A response that exceeds the limits is not stored, and the outcome becomes unknown.
   */
  void end(CallRecord callRecord, CallOutcome outcome) {
    long bytes = outcome.response().map(a -> (long) a.body().length).orElse(0L);
    if (bytes > limits.maxResponseBytes()
        || responseBytes + bytes > limits.maxTotalResponseBytes()) {
      droppedResponses++;
      callRecord.end(CallOutcome.unknown());
      return;
    }
    responseBytes += bytes - callRecord.responseBytes();
    callRecord.end(outcome);
  }

  Iterable<CallRecord> values() {
    return records.values();
  }

  RecordCounts counts() {
    return new RecordCounts(records.size(), responseBytes, evicted, droppedResponses);
  }
}
