package org.heatherspread.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * An in-memory table service that can simulate the failures of the real one, for deterministic runs
 * of the decision logic. Operations complete in the caller's thread or, if the store is paused,
 * when {@link #resume} is called.
 *
 * <p>Thread-safe; each operation is atomic.
 */
public final class InMemoryTableStore implements TableStore {
  private final TreeMap<RowKey, Row> rows =
      new TreeMap<>(Comparator.comparing(RowKey::partition).thenComparing(RowKey::sort));
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private final Map<RowKey, Row> backup = new HashMap<>();
  private long era;
  private boolean outage;
  private boolean paused;
  private int responsesToLose;
  private int writesToLose;
  private long reads;
  private long writes;

  private InMemoryTableStore() {}

  /** Creates an empty store without failures. */
  public static InMemoryTableStore create() {
    return new InMemoryTableStore();
  }

  @Override
  public CompletableFuture<Optional<Row>> get(RowKey key) {
    return run(() -> read(() -> Optional.ofNullable(rows.get(key))));
  }

  @Override
  public CompletableFuture<List<Row>> query(String partition, String afterSort, int limit) {
    return run(() -> read(() -> rowsAfter(partition, afterSort, limit)));
  }

  @Override
  public CompletableFuture<WriteResult> put(Row row, Condition condition) {
    return run(() -> write(row.key(), condition, () -> rows.put(row.key(), row)));
  }

  @Override
  public CompletableFuture<WriteResult> delete(RowKey key, Condition condition) {
    return run(() -> write(key, condition, () -> rows.remove(key)));
  }

  @Override
  public synchronized long era() {
    return era;
  }

  /** Copies all rows. */
  public synchronized void backUp() {
    backup.clear();
    backup.putAll(rows);
  }

  /** Replaces all rows by those of the last copy, or by none. */
  public synchronized void restore() {
    rows.clear();
    rows.putAll(backup);
    era++;
  }

  /** Starts or ends an outage, during which every operation fails without effect. */
  public synchronized void setOutage(boolean on) {
    outage = on;
  }

  /** Loses the responses of the next writes, which take effect if their condition holds. */
  public synchronized void loseResponses(int count) {
    responsesToLose = count;
  }

  /** Loses the next writes themselves; the caller sees the same error as for a lost response. */
  public synchronized void loseWrites(int count) {
    writesToLose = count;
  }

  /** Defers all operations until {@link #resume}. */
  public synchronized void pause() {
    paused = true;
  }

  /** Runs the deferred operations in order and ends the pause. */
  public void resume() {
    List<Runnable> released;
    synchronized (this) {
      paused = false;
      released = new ArrayList<>(deferred);
      deferred.clear();
    }
    released.forEach(Runnable::run);
  }

  /** Returns the number of reads served. */
  public synchronized long reads() {
    return reads;
  }

  /** Returns the number of writes served, including conflicts. */
  public synchronized long writes() {
    return writes;
  }

  private interface Operation<T> {
    T run() throws ServingException;
  }

  private <T> CompletableFuture<T> run(Operation<T> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    synchronized (this) {
      if (paused) {
        deferred.add(() -> complete(result, operation));
        return result;
      }
    }
    complete(result, operation);
    return result;
  }

  private <T> void complete(CompletableFuture<T> result, Operation<T> operation) {
    T value;
    try {
      synchronized (this) {
        value = operation.run();
      }
    } catch (ServingException e) {
      result.completeExceptionally(e);
      return;
    }
    result.complete(value);
  }

  private <T> T read(Operation<T> operation) {
    checkOutage();
    reads++;
    return operation.run();
  }

  private WriteResult write(RowKey key, Condition condition, Runnable effect) {
    checkOutage();
    if (writesToLose > 0) {
      writesToLose--;
      throw outcomeUnknown();
    }
    writes++;
    WriteResult result = WriteResult.CONFLICT;
    if (isMet(condition, rows.get(key))) {
      effect.run();
      result = WriteResult.APPLIED;
    }
    if (responsesToLose > 0) {
      responsesToLose--;
      throw outcomeUnknown();
    }
    return result;
  }

  private static boolean isMet(Condition condition, Row current) {
    if (condition instanceof Condition.VersionIs versionIs) {
      return current != null && current.version() == versionIs.version();
    }
    return current == null;
  }

  private List<Row> rowsAfter(String partition, String afterSort, int limit) {
    List<Row> found = new ArrayList<>();
    for (Row row : rows.tailMap(new RowKey(partition, afterSort), false).values()) {
      if (!row.key().partition().equals(partition) || found.size() == limit) {
        break;
      }
      found.add(row);
    }
    return found;
  }

  private void checkOutage() {
    if (outage) {
      throw ServingException.of(ErrorKind.STORE_UNAVAILABLE, "table service is unavailable");
    }
  }

  private static ServingException outcomeUnknown() {
    return ServingException.of(ErrorKind.STORE_OUTCOME_UNKNOWN, "response to the write was lost");
  }
}
