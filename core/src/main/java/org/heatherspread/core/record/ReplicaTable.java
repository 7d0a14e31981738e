package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Copies of the records of requests that may be repeated, such as model streams: those that this
 * daemon owns, and those that it keeps for others.
 *
 * <p>Invariants: epoch and sequence of a record never go back; of two take-overs of one record here
 * the later gets the higher epoch; a closed record stays closed. Safe for use by any thread; all
 * methods are short and hold one lock.
 *
 * @param <R> what is recorded; must not change once it is in the table
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
   * @param capacity records kept at most
   * @param maxBytes bytes of all values kept at most
   */
  public static <R> ReplicaTable<R> create(InstantSource clock, int capacity, long maxBytes) {
    return new ReplicaTable<>(clock, capacity, maxBytes);
  }

  /** Keeps a copy for another daemon; a sealed table refuses, so that its owner finds another. */
  public synchronized ReplicaWriteResult writeFromPeer(Replica<R> next) {
    return sealed ? ReplicaWriteResult.REFUSED : write(next);
  }

  /** Adds a record of this daemon or replaces it by a later copy. */
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

  /** Finds a copy. */
  public synchronized Optional<Replica<R>> find(RequestId id) {
    evictExpired();
    return Optional.ofNullable(replicas.get(id));
  }

  /** Gives a copy under the next epoch, so that writes of the former owner are refused here. */
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

  /** Keeps nothing more for other daemons and returns the records that have not ended. */
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

  /** Returns how full the table is. */
  public synchronized RecordCounts counts() {
    return new RecordCounts(replicas.size(), bytes, evicted, 0);
  }
}
