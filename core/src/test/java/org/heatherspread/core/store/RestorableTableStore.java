package org.heatherspread.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Store whose rows of one partition can return from an earlier copy. Not thread-safe. */
public final class RestorableTableStore implements TableStore {
  private static final int MAX_ROWS = 100;

  private final String partition;

  private InMemoryTableStore store = InMemoryTableStore.create();
  private List<Row> copy = List.of();
  private long era;

  /** Creates an empty store. */
  public RestorableTableStore(String partition) {
    this.partition = partition;
  }

  /** Copies the rows. */
  public void backUp() {
    copy = store.query(partition, "", MAX_ROWS).join();
  }

  /** Replaces the rows by the copy. */
  public void restore() {
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
