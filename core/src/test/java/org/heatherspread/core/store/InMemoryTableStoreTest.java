package org.heatherspread.core.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.junit.jupiter.api.Test;

class InMemoryTableStoreTest {
  private final InMemoryTableStore store = InMemoryTableStore.create();

  private static Row row(String sort, long version, String writeId) {
    return new Row(new RowKey("p", sort), version, writeId, "{}");
  }

  @Test
  void conditionDecidesWhichOfTwoWritesTakesEffect() {
    assertThat(store.put(row("a", 1, "w1"), Condition.absent()).join())
        .isEqualTo(WriteResult.APPLIED);
    assertThat(store.put(row("a", 1, "w2"), Condition.absent()).join())
        .isEqualTo(WriteResult.CONFLICT);
    assertThat(store.put(row("a", 2, "w3"), Condition.versionIs(1)).join())
        .isEqualTo(WriteResult.APPLIED);
    assertThat(store.get(new RowKey("p", "a")).join().orElseThrow().writeId()).isEqualTo("w3");
  }

  @Test
  void writeWithLostResponseTakesEffect() {
    store.loseResponses(1);
    CompletableFuture<WriteResult> write = store.put(row("a", 1, "w1"), Condition.absent());
    assertThatThrownBy(write::join)
        .hasCauseInstanceOf(ServingException.class)
        .cause()
        .extracting(e -> ((ServingException) e).kind())
        .isEqualTo(ErrorKind.STORE_OUTCOME_UNKNOWN);
    assertThat(store.get(new RowKey("p", "a")).join()).isPresent();
  }

  @Test
  void outageFailsWithoutEffect() {
    store.setOutage(true);
    assertThat(store.put(row("a", 1, "w1"), Condition.absent())).isCompletedExceptionally();
    store.setOutage(false);
    assertThat(store.get(new RowKey("p", "a")).join()).isEmpty();
  }

  @Test
  void pausedOperationsRunInOrderOnResume() {
    store.pause();
    CompletableFuture<WriteResult> first = store.put(row("a", 1, "w1"), Condition.absent());
    final CompletableFuture<WriteResult> second = store.put(row("a", 1, "w2"), Condition.absent());
    assertThat(first).isNotDone();
    store.resume();
    assertThat(first.join()).isEqualTo(WriteResult.APPLIED);
    assertThat(second.join()).isEqualTo(WriteResult.CONFLICT);
  }

  @Test
  void queryStaysInThePartitionAndWithinTheLimit() {
    for (String sort : new String[] {"a", "b", "c"}) {
      store.put(row(sort, 1, "w"), Condition.absent()).join();
    }
    store.put(new Row(new RowKey("q", "a"), 1, "w", "{}"), Condition.absent()).join();
    assertThat(store.query("p", "a", 10).join())
        .extracting(r -> r.key().sort())
        .containsExactly("b", "c");
    assertThat(store.query("p", "", 2).join()).hasSize(2);
  }
}
