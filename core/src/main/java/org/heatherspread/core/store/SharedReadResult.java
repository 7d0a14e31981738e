package org.heatherspread.core.store;

import java.util.List;

/**
 * What the store answered to a read or a wait for changes.
 *
 * @param version newest transaction that the answer covers
 * @param storeMillis the store's own steady clock
 * @param ageMillis how old the knowledge was when it was passed on; 0 straight from the store
 */
public record SharedReadResult(
    List<SharedRow> rows, long version, long storeMillis, long ageMillis) {
  /** Copies the rows. */
  public SharedReadResult {
    rows = List.copyOf(rows);
  }

  /** Creates a reading straight from the store. */
  public SharedReadResult(List<SharedRow> rows, long version, long storeMillis) {
    this(rows, version, storeMillis, 0);
  }
}
