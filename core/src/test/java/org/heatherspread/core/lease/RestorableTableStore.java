package org.heatherspread.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;

/** Store of leases that can return from an earlier copy. Not thread-safe. */
final class RestorableTableStore implements TableStore {
  private static final int MAX_ROWS = 100;

  private InMemoryTableStore store = InMemoryTableStore.create();
  private List<Row> copy = List.of();
  private long era;

  void backUp() {
    copy = store.query("lease", "", MAX_ROWS).join();
  }

  void restore() {
    store = InMemoryTableStore.create();
    copy.forEach(row -> store.put(row, Condition.absent()).join());
    era++;
  }

  @Override
  public long era() {
    return era;
  }

  @Override
  public CompletableFuture<Optional<Row>> get(RowKey key) {
    return store.get(key);
  }

  @Override
  public CompletableFuture<List<Row>> query(String partition, String afterSort, int limit) {
    return store.query(partition, afterSort, limit);
  }

  @Override
  public CompletableFuture<WriteResult> put(Row row, Condition condition) {
    return store.put(row, condition);
  }

  @Override
  public CompletableFuture<WriteResult> delete(RowKey key, Condition condition) {
    return store.delete(key, condition);
  }
}
