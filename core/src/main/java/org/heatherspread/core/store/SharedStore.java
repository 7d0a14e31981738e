package org.heatherspread.core.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Tables that all daemons, endpoints and operators share, with a history of changes.
 *
 * <p>A future fails with kind {@code STORE_UNAVAILABLE} where the call certainly had no effect,
 * with {@code STORE_OUTCOME_UNKNOWN} where a write may have taken effect or still may, and with
 * {@link HistoryLostException} where changes were asked for that the store no longer has.
 */
public interface SharedStore {
  /** Reads a whole table as of one moment per page. */
  CompletableFuture<SharedReadResult> read(String table);

  /** Waits for rows that changed after a version; the answer may be empty. */
  CompletableFuture<SharedReadResult> changes(String table, long after, Duration wait);

  /** Writes and deletes rows of one table in one transaction, unconditionally. */
  CompletableFuture<Void> write(String table, Map<String, byte[]> puts, List<String> deletes);

  /** The history asked for is no longer kept; the table has to be read again. */
  final class HistoryLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the failure for a table. */
    public HistoryLostException(String table) {
      super("history of table " + table + " is no longer kept", null, false, false);
    }
  }
}
