package org.heatherspread.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * A table service for tests whose operations run one at a time, in random order, when {@link #step}
 * is called. Injects failed operations, lost responses, lost writes, and writes that take effect
 * long after their response was lost. Confined to one thread.
 */
public final class SteppedTableStore implements TableStore {
  private final InMemoryTableStore rows = InMemoryTableStore.create();
  private final List<Runnable> pending = new ArrayList<>();
  private final Random random;
  private double faultProbability;

  /** Creates a store in which each operation fails with the given probability. */
  public SteppedTableStore(Random random, double faultProbability) {
    this.random = random;
    this.faultProbability = faultProbability;
  }

  /** Stops injecting faults; writes that are still pending take effect. */
  public void stopFaults() {
    faultProbability = 0;
  }

  /** Runs one pending operation; returns false if there is none. */
  public boolean step() {
    if (pending.isEmpty()) {
      return false;
    }
    pending.remove(random.nextInt(pending.size())).run();
    return true;
  }

  @Override
  public CompletableFuture<Optional<Row>> get(RowKey key) {
    return read(() -> rows.get(key));
  }

  @Override
  public CompletableFuture<List<Row>> query(String partition, String afterSort, int limit) {
    return read(() -> rows.query(partition, afterSort, limit));
  }

  @Override
  public CompletableFuture<WriteResult> put(Row row, Condition condition) {
    return write(() -> rows.put(row, condition));
  }

  @Override
  public CompletableFuture<WriteResult> delete(RowKey key, Condition condition) {
    return write(() -> rows.delete(key, condition));
  }

  private <T> CompletableFuture<T> read(Operation<T> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    pending.add(
        () -> {
          if (random.nextDouble() < faultProbability) {
            fail(result, ErrorKind.STORE_UNAVAILABLE);
          } else {
            result.complete(operation.run().join());
          }
        });
    return result;
  }

  private CompletableFuture<WriteResult> write(Operation<WriteResult> operation) {
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    pending.add(
        () -> {
          if (random.nextDouble() >= faultProbability) {
            result.complete(operation.run().join());
            return;
          }
          switch (random.nextInt(4)) {
            case 0 -> fail(result, ErrorKind.STORE_UNAVAILABLE);
            case 1 -> fail(result, ErrorKind.STORE_OUTCOME_UNKNOWN);
            case 2 -> {
              operation.run().join();
              fail(result, ErrorKind.STORE_OUTCOME_UNKNOWN);
            }
            default -> {
              pending.add(() -> operation.run().join());
              fail(result, ErrorKind.STORE_OUTCOME_UNKNOWN);
            }
          }
        });
    return result;
  }

  private static void fail(CompletableFuture<?> result, ErrorKind kind) {
    result.completeExceptionally(ServingException.of(kind, "injected"));
  }

  private interface Operation<T> {
    CompletableFuture<T> run();
  }
}
