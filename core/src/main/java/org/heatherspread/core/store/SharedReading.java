package org.heatherspread.core.store;

import java.util.List;

/**
 * What the store answered to a read or a wait for changes.
 *
 * @param version newest transaction that the answer covers
 * @param storeMillis the store's own steady clock
 */
public record SharedReading(List<SharedRow> rows, long version, long storeMillis) {
  /** Copies the rows. */
  public SharedReading {
    rows = List.copyOf(rows);
  }
}
