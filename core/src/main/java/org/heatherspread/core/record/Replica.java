package org.heatherspread.core.record;

/**
 * Copy of a request record. Immutable if the value is.
 *
 * @param id the request id
 * @param epoch incremented by each takeover; only the owner with the highest epoch may write
 * @param sequence incremented by each write of an owner
 * @param closed whether the request has ended
 * @param bytes memory used by the value, counted against the limit of the table
 * @param expiresAtMillis time after which the replica may be evicted, in milliseconds since the
 *     epoch
 * @param ownerId instance id of the owner that wrote the replica
 * @param value the recorded state
 */
public record Replica<R>(
    RequestId id,
    long epoch,
    long sequence,
    boolean closed,
    long bytes,
    long expiresAtMillis,
    String ownerId,
    R value) {

  /** Returns whether this replica is later than another one of the same request. */
  public boolean isLaterThan(Replica<R> other) {
    return epoch != other.epoch ? epoch > other.epoch : sequence > other.sequence;
  }

  /** Returns a copy with the next epoch. */
  Replica<R> withNextEpoch() {
    return new Replica<>(id, epoch + 1, sequence, closed, bytes, expiresAtMillis, ownerId, value);
  }
}
