package org.heatherspread.core.store;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Tables shared by all daemons, endpoints and operators, with a history of changes.
 *
 * <p>A future fails with kind {@code STORE_UNAVAILABLE} if the call certainly had no effect, with
 * {@code STORE_OUTCOME_UNKNOWN} if a write may have taken effect or may still do so, and with
 * {@link HistoryLostException} if changes were requested that the store no longer keeps.
 */
public interface SharedStore {
  /** Reads a whole table; each page is consistent, but pages may be of different times. */
  CompletableFuture<SharedReadResult> read(String table);

  /**
   * Waits for rows that changed after a position; the result may have no rows. The history is lost
   * if the store was restored from an earlier copy since.
   */
  CompletableFuture<SharedReadResult> changes(String table, StorePosition after, Duration maxWait);

  /** Writes and deletes rows of one table in one transaction, unconditionally. */
  CompletableFuture<Void> write(String table, Map<String, byte[]> puts, List<String> deletes);

  /** Thrown if the requested changes are no longer kept; the whole table must be read again. */
  final class HistoryLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a table, without a stack trace. */
    public HistoryLostException(String table) {
      super("history of table " + table + " is no longer kept", null, false, false);
    }
  }
}
