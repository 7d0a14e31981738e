package org.heatherspread.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The operations that we use of the platform's transactional table service.
 *
 * <p>Implementations are safe for use by any thread. A future fails with kind {@code
 * STORE_UNAVAILABLE} where the operation certainly had no effect, and {@code STORE_OUTCOME_UNKNOWN}
 * where a write may have taken effect.
 */
public interface TableStore {
  /** Reads one row, strongly consistent. */
  CompletableFuture<Optional<Row>> get(RowKey key);

  /** Reads at most {@code limit} rows of a partition in order, after the sort key given. */
  CompletableFuture<List<Row>> query(String partition, String afterSort, int limit);

  /** Writes a row if the condition holds. */
  CompletableFuture<WriteResult> put(Row row, Condition condition);

  /** Deletes a row if the condition holds. */
  CompletableFuture<WriteResult> delete(RowKey key, Condition condition);
}
