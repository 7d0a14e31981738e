package org.heatherspread.node.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shared store, whose changes are heard from the reader of this failure domain where there is
 * one, and from the store itself where there is none or it does not answer soundly.
 *
 * <p>Invariant: what the reader passes on counts only with its age, and not at all above {@link
 * #MAX_AGE_MILLIS}; whole tables and writes always go to the store. Confined to the event loop.
 */
public final class DomainReaderStore implements SharedStore {
  private static final Logger log = LoggerFactory.getLogger(DomainReaderStore.class);

  /**
   * Oldest knowledge that is taken from a reader: two of its waits for changes, so that a reader
   * that lost the store is noticed well within the bounds for configurations and endpoints.
   */
  private static final long MAX_AGE_MILLIS = 1_100;

  /** Time for which a reader that failed is not asked again, in milliseconds. */
  private static final long DISTRUST_MILLIS = 3_000;

  /** The same for a daemon that does not yet know that it is the reader, about a reading. */
  private static final long NOT_READY_MILLIS = 1_000;

  private final SharedStore store;
  private final Supplier<Optional<String>> reader;
  private final ChangesClient changes;
  private final MonotonicClock clock;
  private long distrustUntilMillis = Long.MIN_VALUE;

  /** Waits for changes at a daemon. */
  interface ChangesClient {
    /** Returns the changes after a version, as the daemon has read them. */
    CompletableFuture<SharedReading> awaitChanges(
        String daemon, String table, long after, Duration wait);
  }

  private DomainReaderStore(
      SharedStore store,
      Supplier<Optional<String>> reader,
      ChangesClient changes,
      MonotonicClock clock) {
    this.store = store;
    this.reader = reader;
    this.changes = changes;
    this.clock = clock;
  }

  /**
   * Creates a store.
   *
   * @param reader name of the daemon to hear changes from, empty to ask the store
   */
  static DomainReaderStore create(
      SharedStore store,
      Supplier<Optional<String>> reader,
      ChangesClient changes,
      MonotonicClock clock) {
    return new DomainReaderStore(store, reader, changes, clock);
  }

  /** Creates a store whose changes come through a client. */
  public static DomainReaderStore create(
      SharedStore store,
      Supplier<Optional<String>> reader,
      PeerClient client,
      MonotonicClock clock) {
    return new DomainReaderStore(store, reader, client::awaitChanges, clock);
  }

  @Override
  public CompletableFuture<SharedReading> read(String table) {
    return store.read(table);
  }

  @Override
  public CompletableFuture<SharedReading> changes(String table, long after, Duration wait) {
    Optional<String> asked = reader.get();
    if (asked.isEmpty() || clock.millis() < distrustUntilMillis) {
      return store.changes(table, after, wait);
    }
    return changes
        .awaitChanges(asked.get(), table, after, wait)
        .thenApply(DomainReaderStore::fresh)
        .handle(
            (reading, failure) -> {
              if (failure == null) {
                return CompletableFuture.completedFuture(reading);
              }
              distrust(asked.get(), table, failure);
              return store.changes(table, after, Duration.ZERO);
            })
        .thenCompose(Function.identity());
  }

  private static SharedReading fresh(SharedReading reading) {
    if (reading.ageMillis() > MAX_AGE_MILLIS) {
      throw ServingException.of(
          ErrorKind.STORE_UNAVAILABLE,
          "knowledge of the reader is " + reading.ageMillis() + " ms old");
    }
    return reading;
  }

  private void distrust(String daemon, String table, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    distrustUntilMillis = clock.millis() + distrustMillis(cause);
    log.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("reader", daemon)
        .addKeyValue("reason", String.valueOf(cause.getMessage()))
        .log("changes are read from the store itself");
  }

  /**
   * Returns how long the reader is not asked; what it only could not pass on says nothing of it.
   */
  private static long distrustMillis(Throwable cause) {
    if (cause instanceof HistoryLostException) {
      return 0;
    }
    if (cause instanceof ServingException told) {
      return switch (told.kind()) {
        case BODY_TOO_LARGE -> 0;
        case NOT_READY -> NOT_READY_MILLIS;
        default -> DISTRUST_MILLIS;
      };
    }
    return DISTRUST_MILLIS;
  }

  @Override
  public CompletableFuture<Void> write(
      String table, Map<String, byte[]> puts, List<String> deletes) {
    return store.write(table, puts, deletes);
  }
}
