package org.heatherspread.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The operations used of the platform's transactional table service.
 *
 * <p>Implementations are thread-safe. A future fails with kind {@code STORE_UNAVAILABLE} if the
 * operation certainly had no effect, and with {@code STORE_OUTCOME_UNKNOWN} if a write may have
 * taken effect.
 */
public interface TableStore {
  /** Reads one row with strong consistency. */
  CompletableFuture<Optional<Row>> get(RowKey key);

  /**
   * Reads at most {@code limit} rows of a partition after a sort key, in the order of sort keys.
   */
  CompletableFuture<List<Row>> query(String partition, String afterSort, int limit);

  /** Writes a row if the condition is met. */
  CompletableFuture<WriteResult> put(Row row, Condition condition);

  /** Deletes a row if the condition is met. */
  CompletableFuture<WriteResult> delete(RowKey key, Condition condition);

  /**
   * Returns the number of times that the service is known to have been restored from an earlier
   * copy, without the latest writes.
   */
  default long era() {
    return 0;
  }
}
