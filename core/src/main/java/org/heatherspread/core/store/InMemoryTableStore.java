package org.heatherspread.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * A table service in memory with switches for the failures of the real one, for deterministic runs
 * of the decision logic. Operations complete in the caller's thread, or when {@link #resume} is
 * called if the store is paused.
 *
 * <p>Safe for use by any thread; each operation is atomic.
 */
public final class InMemoryTableStore implements TableStore {
  private final TreeMap<RowKey, Row> rows =
      new TreeMap<>(Comparator.comparing(RowKey::partition).thenComparing(RowKey::sort));
  private final Deque<Runnable> held = new ArrayDeque<>();
  private boolean outage;
  private boolean paused;
  private int lostAnswers;
  private int lostWrites;
  private long reads;
  private long writes;

  private InMemoryTableStore() {}

  /** Creates an empty store without failures. */
  public static InMemoryTableStore create() {
    return new InMemoryTableStore();
  }

  // ---- Operations ----

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

  // ---- Switches ----

  /** Turns the outage on or off; during it every operation fails without effect. */
  public synchronized void setOutage(boolean on) {
    outage = on;
  }

  /** Loses the answers of the next writes; they take effect if their condition holds. */
  public synchronized void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Loses the next writes themselves; the writer sees the same as with a lost answer. */
  public synchronized void loseWrites(int count) {
    lostWrites = count;
  }

  /** Holds all operations back until {@link #resume}. */
  public synchronized void pause() {
    paused = true;
  }

  /** Runs the operations held back, in order, and ends the pause. */
  public void resume() {
    List<Runnable> ready;
    synchronized (this) {
      paused = false;
      ready = new ArrayList<>(held);
      held.clear();
    }
    ready.forEach(Runnable::run);
  }

  /** Returns how many reads were served. */
  public synchronized long reads() {
    return reads;
  }

  /** Returns how many writes were served, conflicts included. */
  public synchronized long writes() {
    return writes;
  }

  // ---- Inner parts ----

  private interface Operation<T> {
    T run() throws ServingException;
  }

  private <T> CompletableFuture<T> run(Operation<T> operation) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    synchronized (this) {
      if (paused) {
        held.add(() -> complete(answer, operation));
        return answer;
      }
    }
    complete(answer, operation);
    return answer;
  }

  private <T> void complete(CompletableFuture<T> answer, Operation<T> operation) {
    T result;
    try {
      synchronized (this) {
        result = operation.run();
      }
    } catch (ServingException e) {
      answer.completeExceptionally(e);
      return;
    }
    answer.complete(result);
  }

  private <T> T read(Operation<T> operation) {
    checkOutage();
    reads++;
    return operation.run();
  }

  private WriteResult write(RowKey key, Condition condition, Runnable effect) {
    checkOutage();
    if (lostWrites > 0) {
      lostWrites--;
      throw lost();
    }
    writes++;
    WriteResult result = WriteResult.CONFLICT;
    if (holds(condition, rows.get(key))) {
      effect.run();
      result = WriteResult.APPLIED;
    }
    if (lostAnswers > 0) {
      lostAnswers--;
      throw lost();
    }
    return result;
  }

  private static boolean holds(Condition condition, Row current) {
    if (condition instanceof Condition.VersionIs expected) {
      return current != null && current.version() == expected.version();
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
      throw ServingException.of(ErrorKind.STORE_UNAVAILABLE, "Table service is down");
    }
  }

  private static ServingException lost() {
    return ServingException.of(ErrorKind.STORE_OUTCOME_UNKNOWN, "Answer of the write was lost");
  }
}
