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
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class DomainReaderStoreTest {
  private final ManualClock clock = ManualClock.create();
  private final List<String> calls = new ArrayList<>();
  private CompletableFuture<SharedReadResult> readerResult;
  private Optional<String> reader = Optional.of("daemon-1");

  private final SharedStore underlying =
      new SharedStore() {
        @Override
        public CompletableFuture<SharedReadResult> read(String table) {
          calls.add("read");
          return CompletableFuture.completedFuture(new SharedReadResult(List.of(), 9, 0));
        }

        @Override
        public CompletableFuture<SharedReadResult> changes(
            String table, StorePosition after, Duration maxWait) {
          calls.add("changes");
          return CompletableFuture.completedFuture(new SharedReadResult(List.of(), 9, 0));
        }

        @Override
        public CompletableFuture<Void> write(
            String table, Map<String, byte[]> puts, List<String> deletes) {
          calls.add("write");
          return CompletableFuture.completedFuture(null);
        }
      };

  private final DomainReaderStore store =
      DomainReaderStore.create(
          underlying,
          () -> reader,
          (daemon, table, after, maxWait) -> {
            calls.add(daemon);
            return readerResult;
          },
          clock);

  private static StorePosition at(long version) {
    return new StorePosition(0, version);
  }

  private long readVersion() {
    return store.changes("op", at(3), Duration.ofMillis(300)).join().version();
  }

  @Test
  void readsChangesFromTheReaderWithTheirAge() {
    readerResult =
        CompletableFuture.completedFuture(new SharedReadResult(List.of(), at(4), 0, 700));
    assertThat(store.changes("op", at(3), Duration.ZERO).join().ageMillis()).isEqualTo(700);
    assertThat(calls).containsExactly("daemon-1");
  }

  /** A reader that is disconnected from the store still responds to other daemons. */
  @Test
  void rejectsStaleChangesFromTheReader() {
    readerResult =
        CompletableFuture.completedFuture(new SharedReadResult(List.of(), at(4), 0, 1_200));
    assertThat(readVersion()).isEqualTo(9);
    assertThat(calls).containsExactly("daemon-1", "changes");
  }

  @Test
  void fallsBackToTheStoreOnFailureAndReturnsToTheReaderLater() {
    readerResult = CompletableFuture.failedFuture(new IllegalStateException("no answer in time"));
    assertThat(readVersion()).isEqualTo(9);
    assertThat(readVersion()).isEqualTo(9);
    assertThat(calls).containsExactly("daemon-1", "changes", "changes");
    clock.advance(Duration.ofMillis(3_100));
    readerResult = CompletableFuture.completedFuture(new SharedReadResult(List.of(), at(10), 0, 0));
    assertThat(readVersion()).isEqualTo(10);
  }

  /** Changes that exceed the response limit do not mean that the reader failed. */
  @Test
  void usesTheReaderAgainAfterChangesThatWereTooLarge() {
    readerResult =
        CompletableFuture.failedFuture(ServingException.of(ErrorKind.BODY_TOO_LARGE, "too large"));
    assertThat(readVersion()).isEqualTo(9);
    readerResult = CompletableFuture.completedFuture(new SharedReadResult(List.of(), at(10), 0, 0));
    assertThat(readVersion()).isEqualTo(10);
  }

  @Test
  void fullReadsAndWritesGoToTheStore() {
    store.read("op").join();
    store.write("op", Map.of(), List.of()).join();
    reader = Optional.empty();
    assertThat(readVersion()).isEqualTo(9);
    assertThat(calls).containsExactly("read", "write", "changes");
  }
}
