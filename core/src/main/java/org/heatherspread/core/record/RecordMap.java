package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The bounded map under the tables of records.
 *
 * <p>Invariant: time as seen here never goes back, a draft is admitted only before its expiry, and
 * an entry is forgotten only after it. So an id that was once here can never be admitted anew, even
 * if the wall clock of the machine is set back. Not safe for use by several threads; the table that
 * holds it locks.
 */
final class RecordMap {
  private record Expiry(long atMillis, RequestId id) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private final Map<RequestId, CallEntry> entries = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();
  private final InstantSource clock;
  private final RecordLimits limits;
  private long nowMillis;
  private long answerBytes;
  private long forgotten;
  private long droppedAnswers;

  RecordMap(InstantSource clock, RecordLimits limits) {
    this.clock = clock;
    this.limits = limits;
    this.nowMillis = clock.millis();
  }

  /** Moves time forward and forgets entries past their retention. */
  void advance() {
    nowMillis = Math.max(nowMillis, clock.millis());
    long horizon = nowMillis - limits.retention().toMillis();
    while (!expiries.isEmpty() && expiries.peek().atMillis() < horizon) {
      CallEntry entry = entries.remove(expiries.poll().id());
      answerBytes -= entry.answerBytes();
      forgotten++;
    }
  }

  long nowMillis() {
    return nowMillis;
  }

  boolean expired(CallDraft draft) {
    return draft.expiresAtMillis() <= nowMillis;
  }

  boolean full() {
    return entries.size() >= limits.capacity();
  }

  CallEntry get(RequestId id) {
    return entries.get(id);
  }

  void put(CallDraft draft, CallEntry entry) {
    entries.put(draft.id(), entry);
    expiries.add(new Expiry(draft.expiresAtMillis(), draft.id()));
  }

  /** Ends an entry; an answer that is over the limits is not kept and counts as unknown. */
  void end(CallEntry entry, CallOutcome outcome) {
    long bytes = outcome.answer().map(a -> (long) a.body().length).orElse(0L);
    if (bytes > limits.answerBytes() || answerBytes + bytes > limits.totalAnswerBytes()) {
      droppedAnswers++;
      entry.end(CallOutcome.unknown());
      return;
    }
    answerBytes += bytes - entry.answerBytes();
    entry.end(outcome);
  }

  Iterable<CallEntry> entries() {
    return entries.values();
  }

  RecordCounts counts() {
    return new RecordCounts(entries.size(), answerBytes, forgotten, droppedAnswers);
  }
}
