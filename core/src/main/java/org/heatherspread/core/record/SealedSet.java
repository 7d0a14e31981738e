package org.heatherspread.core.record;

import java.util.List;

/**
 * All records of a witness that stopped acknowledging. Immutable.
 *
 * @param witness the incarnation that was the witness
 * @param sealedAtMillis time at which the set was created, by the clock of the witness, in
 *     milliseconds since the epoch
 * @param records all records that the witness still held
 */
public record SealedSet(DaemonRef witness, long sealedAtMillis, List<SealedRecord> records) {
  /** Copies the records. */
  public SealedSet {
    records = List.copyOf(records);
  }
}
