package org.heatherspread.core.store;

import java.util.List;

/**
 * The result of a read of a shared table or of a wait for its changes. Immutable.
 *
 * @param position newest transaction that the result covers
 * @param storeMillis time on the store's monotonic clock
 * @param ageMillis age of the result when it was forwarded; 0 if it comes directly from the store
 */
public record SharedReadResult(
    List<SharedRow> rows, StorePosition position, long storeMillis, long ageMillis) {
  /** Copies the rows. */
  public SharedReadResult {
    rows = List.copyOf(rows);
  }

  /** Creates a result that comes directly from a store that was never restored. */
  public SharedReadResult(List<SharedRow> rows, long version, long storeMillis) {
    this(rows, new StorePosition(0, version), storeMillis, 0);
  }

  /** Returns the version of the newest transaction that the result covers. */
  public long version() {
    return position.version();
  }
}
