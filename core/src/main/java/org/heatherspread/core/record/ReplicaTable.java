package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Replicas of the records of requests that may be repeated, such as model streams: those that this
 * daemon owns and those that it holds for other daemons.
 *
 * <p>Invariants: epoch and sequence of a record never decrease; successive takeovers of a record
 * here receive increasing epochs; a closed record stays closed. Thread-safe; all methods are short
 * and hold one lock.
 *
 * @param <R> type of the recorded state; values must not change once they are in the table
 */
public final class ReplicaTable<R> {
  private record Expiry(long atMillis, RequestId id) implements Comparable<Expiry> {
    @Override
    public int compareTo(Expiry other) {
      return Long.compare(atMillis, other.atMillis);
    }
  }

  private final Map<RequestId, Replica<R>> replicas = new HashMap<>();
  private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();
  private final InstantSource clock;
  private final int capacity;
  private final long maxBytes;
  private long bytes;
  private long evicted;
  private boolean sealed;

  private ReplicaTable(InstantSource clock, int capacity, long maxBytes) {
    this.clock = clock;
    this.capacity = capacity;
    this.maxBytes = maxBytes;
  }

  /**
   * Creates an empty table.
   *
   * @param capacity maximum number of records
   * @param maxBytes maximum size of all values
   */
  public static <R> ReplicaTable<R> create(InstantSource clock, int capacity, long maxBytes) {
    return new ReplicaTable<>(clock, capacity, maxBytes);
  }

  /**
   * Writes a replica for another daemon; a sealed table refuses, so that the owner chooses another
   * daemon.
   */
  public synchronized ReplicaWriteResult writeFromPeer(Replica<R> next) {
    return sealed ? ReplicaWriteResult.REFUSED : write(next);
  }

  /** Adds a record of this daemon or replaces it by a later replica. */
  public synchronized ReplicaWriteResult write(Replica<R> next) {
    evictExpired();
    Replica<R> current = replicas.get(next.id());
    if (current == null) {
      return fits(next, 0) ? store(next) : ReplicaWriteResult.REFUSED;
    }
    if (next.epoch() < current.epoch() || current.closed() && !next.closed()) {
      return ReplicaWriteResult.TAKEN_OVER;
    }
    if (!next.isLaterThan(current)) {
      return ReplicaWriteResult.KEPT;
    }
    return fits(next, current.bytes()) ? store(next) : ReplicaWriteResult.REFUSED;
  }

  private boolean fits(Replica<R> next, long freedBytes) {
    boolean hasSlot = freedBytes > 0 || replicas.size() < capacity;
    return hasSlot && bytes - freedBytes + next.bytes() <= maxBytes;
  }

  private ReplicaWriteResult store(Replica<R> next) {
    Replica<R> previous = replicas.put(next.id(), next);
    bytes += next.bytes() - (previous == null ? 0 : previous.bytes());
    if (previous == null || previous.expiresAtMillis() != next.expiresAtMillis()) {
      expiries.add(new Expiry(next.expiresAtMillis(), next.id()));
    }
    return ReplicaWriteResult.KEPT;
  }

  private void evictExpired() {
    long now = clock.millis();
    while (!expiries.isEmpty() && expiries.peek().atMillis() < now) {
      Expiry expiry = expiries.poll();
      Replica<R> replica = replicas.get(expiry.id());
      if (replica != null && replica.expiresAtMillis() == expiry.atMillis()) {
        replicas.remove(expiry.id());
        bytes -= replica.bytes();
        evicted++;
      }
    }
  }

  /** Returns the replica of a request, if present. */
  public synchronized Optional<Replica<R>> find(RequestId id) {
    evictExpired();
    return Optional.ofNullable(replicas.get(id));
  }

  /**
   * Takes over a record under the next epoch, so that writes of the previous owner are refused
   * here.
   */
  public synchronized Optional<Replica<R>> takeOver(RequestId id) {
    evictExpired();
    Replica<R> current = replicas.get(id);
    if (current == null) {
      return Optional.empty();
    }
    Replica<R> next = current.withNextEpoch();
    replicas.put(id, next);
    return Optional.of(next);
  }

  /** Refuses new replicas from other daemons and returns the records that have not ended. */
  public synchronized List<Replica<R>> seal() {
    sealed = true;
    evictExpired();
    List<Replica<R>> open = new ArrayList<>();
    for (Replica<R> each : replicas.values()) {
      if (!each.closed()) {
        open.add(each);
      }
    }
    return open;
  }

  /** Returns the current counts. */
  public synchronized RecordCounts counts() {
    return new RecordCounts(replicas.size(), bytes, evicted, 0);
  }
}
