package org.heatherspread.core.record;

/**
 * One copy of a request's record. Immutable if the value is.
 *
 * @param id the request id
 * @param epoch grows with each take-over; only the owner of the highest epoch may write
 * @param sequence grows with each write of one owner
 * @param closed whether the request has ended
 * @param bytes memory that the value takes, for the table's bound
 * @param expiresAtMillis when it may be forgotten, in milliseconds since the epoch
 * @param ownerId instance id of the owner that wrote it
 * @param value what is recorded
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

  /** Tells whether this copy is later than another one of the same request. */
  public boolean isLaterThan(Replica<R> other) {
    return epoch != other.epoch ? epoch > other.epoch : sequence > other.sequence;
  }

  /** Returns a copy under the next epoch. */
  Replica<R> withNextEpoch() {
    return new Replica<>(id, epoch + 1, sequence, closed, bytes, expiresAtMillis, ownerId, value);
  }
}
