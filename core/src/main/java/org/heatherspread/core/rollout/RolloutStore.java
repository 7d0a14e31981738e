package org.heatherspread.core.rollout;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.WriteResult;

/**
 * Stores the states of moves together with their status for the platform. Futures fail in the same
 * way as those of {@link org.heatherspread.core.store.TableStore}.
 */
public interface RolloutStore {
  /** Returns the row of a state. */
  CompletableFuture<Optional<Row>> get(RowKey key);

  /**
   * Writes a state and, in the same transaction, the status, if the row of the state meets the
   * condition. So no holder of the lease can leave one without the other.
   */
  CompletableFuture<WriteResult> put(Row row, Condition condition, Optional<Status> status);

  /** The status of a move, as the platform reads it. */
  record Status(String service, String to, RolloutPhase phase) {}
}
