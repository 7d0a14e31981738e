package org.heatherspread.core.record;

import java.util.List;

/**
 * All records of a witness that stopped acknowledging. Immutable.
 *
 * @param witness the incarnation that was the witness
 * @param sealedAtMillis when the set was made, by the witness's clock, in milliseconds since the
 *     epoch
 * @param records every record it still held
 */
public record SealedSet(DaemonRef witness, long sealedAtMillis, List<SealedRecord> records) {
  /** Copies the list, so that the record stays immutable. */
  public SealedSet {
    records = List.copyOf(records);
  }
}
