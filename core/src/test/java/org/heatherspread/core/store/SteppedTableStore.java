package org.heatherspread.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * A table service whose operations wait until the test lets one of them go on, in any order, with
 * lost answers, lost writes, and writes that take effect long after their answer was lost. Confined
 * to one thread.
 */
public final class SteppedTableStore implements TableStore {
  private final InMemoryTableStore rows = InMemoryTableStore.create();
  private final List<Runnable> waiting = new ArrayList<>();
  private final Random random;
  private double faults;

  /** Creates a store whose faults have a given probability for each operation. */
  public SteppedTableStore(Random random, double faults) {
    this.random = random;
    this.faults = faults;
  }

  /** Ends all faults; writes that are still on their way take effect. */
  public void stopFaults() {
    faults = 0;
  }

  /** Lets one operation go on; returns false if none waits. */
  public boolean step() {
    if (waiting.isEmpty()) {
      return false;
    }
    waiting.remove(random.nextInt(waiting.size())).run();
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
    CompletableFuture<T> answer = new CompletableFuture<>();
    waiting.add(
        () -> {
          if (random.nextDouble() < faults) {
            fail(answer, ErrorKind.STORE_UNAVAILABLE);
          } else {
            answer.complete(operation.run().join());
          }
        });
    return answer;
  }

  private CompletableFuture<WriteResult> write(Operation<WriteResult> operation) {
    CompletableFuture<WriteResult> answer = new CompletableFuture<>();
    waiting.add(
        () -> {
          if (random.nextDouble() >= faults) {
            answer.complete(operation.run().join());
            return;
          }
          switch (random.nextInt(4)) {
            case 0 -> fail(answer, ErrorKind.STORE_UNAVAILABLE);
            case 1 -> fail(answer, ErrorKind.STORE_OUTCOME_UNKNOWN);
            case 2 -> {
              operation.run().join();
              fail(answer, ErrorKind.STORE_OUTCOME_UNKNOWN);
            }
            default -> {
              waiting.add(() -> operation.run().join());
              fail(answer, ErrorKind.STORE_OUTCOME_UNKNOWN);
            }
          }
        });
    return answer;
  }

  private static void fail(CompletableFuture<?> answer, ErrorKind kind) {
    answer.completeExceptionally(ServingException.of(kind, "injected"));
  }

  private interface Operation<T> {
    CompletableFuture<T> run();
  }
}
