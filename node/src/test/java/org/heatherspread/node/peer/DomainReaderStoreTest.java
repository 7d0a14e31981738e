package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class DomainReaderStoreTest {
  private final ManualClock clock = ManualClock.create();
  private final List<String> asked = new ArrayList<>();
  private CompletableFuture<SharedReading> relayed;
  private Optional<String> reader = Optional.of("daemon-1");

  private final SharedStore direct =
      new SharedStore() {
        @Override
        public CompletableFuture<SharedReading> read(String table) {
          asked.add("whole");
          return CompletableFuture.completedFuture(new SharedReading(List.of(), 9, 0));
        }

        @Override
        public CompletableFuture<SharedReading> changes(String table, long after, Duration wait) {
          asked.add("direct");
          return CompletableFuture.completedFuture(new SharedReading(List.of(), 9, 0));
        }

        @Override
        public CompletableFuture<Void> write(
            String table, Map<String, byte[]> puts, List<String> deletes) {
          asked.add("write");
          return CompletableFuture.completedFuture(null);
        }
      };

  private final DomainReaderStore store =
      DomainReaderStore.create(
          direct,
          () -> reader,
          (daemon, table, after, wait) -> {
            asked.add(daemon);
            return relayed;
          },
          clock);

  private long version() {
    return store.changes("op", 3, Duration.ofMillis(300)).join().version();
  }

  @Test
  void hearsChangesFromTheReaderWithTheirAge() {
    relayed = CompletableFuture.completedFuture(new SharedReading(List.of(), 4, 0, 700));
    assertThat(store.changes("op", 3, Duration.ZERO).join().ageMillis()).isEqualTo(700);
    assertThat(asked).containsExactly("daemon-1");
  }

  /** The reader is cut off from the store but still answers its peers. */
  @Test
  void doesNotTakeKnowledgeThatIsTooOld() {
    relayed = CompletableFuture.completedFuture(new SharedReading(List.of(), 4, 0, 1_200));
    assertThat(version()).isEqualTo(9);
    assertThat(asked).containsExactly("daemon-1", "direct");
  }

  @Test
  void goesToTheStoreAtOnceWhereTheReaderFailsAndTrustsItAgainLater() {
    relayed = CompletableFuture.failedFuture(new IllegalStateException("no answer in time"));
    assertThat(version()).isEqualTo(9);
    assertThat(version()).isEqualTo(9);
    assertThat(asked).containsExactly("daemon-1", "direct", "direct");
    clock.advance(Duration.ofMillis(3_100));
    relayed = CompletableFuture.completedFuture(new SharedReading(List.of(), 10, 0, 0));
    assertThat(version()).isEqualTo(10);
  }

  /** What is too large to pass on is read from the store; the reader is as sound as before. */
  @Test
  void asksTheReaderAgainAfterChangesThatWereTooLarge() {
    relayed =
        CompletableFuture.failedFuture(ServingException.of(ErrorKind.BODY_TOO_LARGE, "too large"));
    assertThat(version()).isEqualTo(9);
    relayed = CompletableFuture.completedFuture(new SharedReading(List.of(), 10, 0, 0));
    assertThat(version()).isEqualTo(10);
  }

  @Test
  void readsWholeTablesAndWritesAtTheStore() {
    store.read("op").join();
    store.write("op", Map.of(), List.of()).join();
    reader = Optional.empty();
    assertThat(version()).isEqualTo(9);
    assertThat(asked).containsExactly("whole", "write", "direct");
  }
}
