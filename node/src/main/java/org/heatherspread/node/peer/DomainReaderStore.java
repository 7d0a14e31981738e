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
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shared store that reads changes through the daemon that reads for this failure domain, and from
 * the underlying store if there is no such reader or it fails.
 *
 * <p>Invariant: changes from the reader keep the age that the reader states and are rejected above
 * {@link #MAX_AGE_MILLIS}; full reads and writes always go to the underlying store. Confined to the
 * event loop.
 */
public final class DomainReaderStore implements SharedStore {
  private static final Logger log = LoggerFactory.getLogger(DomainReaderStore.class);

  /**
   * Maximum age of changes from the reader: two of its waits, so that a reader that has lost the
   * store is detected well within the bounds for configurations and endpoints.
   */
  private static final long MAX_AGE_MILLIS = 1_100;

  /** Time for which the reader is not used after a failure. */
  private static final long FAILED_PAUSE_MILLIS = 3_000;

  /**
   * Time for which the reader is not used if it does not yet consider itself the reader, about the
   * time until its next read of the daemon reports.
   */
  private static final long NOT_READY_PAUSE_MILLIS = 1_000;

  private final SharedStore store;
  private final Supplier<Optional<String>> reader;
  private final ChangesClient changesClient;
  private final MonotonicClock clock;
  private long readerPausedUntilMillis = Long.MIN_VALUE;

  /** Waits for changes through another daemon. */
  interface ChangesClient {
    /** Returns the changes after a position, as read by the daemon. */
    CompletableFuture<SharedReadResult> awaitChanges(
        String daemon, String table, StorePosition after, Duration maxWait);
  }

  private DomainReaderStore(
      SharedStore store,
      Supplier<Optional<String>> reader,
      ChangesClient changesClient,
      MonotonicClock clock) {
    this.store = store;
    this.reader = reader;
    this.changesClient = changesClient;
    this.clock = clock;
  }

  /**
   * Creates a store.
   *
   * @param reader name of the daemon to read changes from, empty to read them from the store
   */
  static DomainReaderStore create(
      SharedStore store,
      Supplier<Optional<String>> reader,
      ChangesClient changesClient,
      MonotonicClock clock) {
    return new DomainReaderStore(store, reader, changesClient, clock);
  }

  /** Creates a store that reads changes through a peer client. */
  public static DomainReaderStore create(
      SharedStore store,
      Supplier<Optional<String>> reader,
      PeerClient client,
      MonotonicClock clock) {
    return new DomainReaderStore(store, reader, client::awaitChanges, clock);
  }

  @Override
  public CompletableFuture<SharedReadResult> read(String table) {
    return store.read(table);
  }

  @Override
  public CompletableFuture<SharedReadResult> changes(
      String table, StorePosition after, Duration maxWait) {
    Optional<String> daemon = reader.get();
    if (daemon.isEmpty() || clock.millis() < readerPausedUntilMillis) {
      return store.changes(table, after, maxWait);
    }
    return changesClient
        .awaitChanges(daemon.get(), table, after, maxWait)
        .thenApply(DomainReaderStore::requireFresh)
        .handle(
            (result, failure) -> {
              if (failure == null) {
                return CompletableFuture.completedFuture(result);
              }
              pauseReader(daemon.get(), table, failure);
              return store.changes(table, after, Duration.ZERO);
            })
        .thenCompose(Function.identity());
  }

  private static SharedReadResult requireFresh(SharedReadResult result) {
    if (result.ageMillis() > MAX_AGE_MILLIS) {
      throw ServingException.of(
          ErrorKind.STORE_UNAVAILABLE,
          "changes from the domain reader are " + result.ageMillis() + " ms old");
    }
    return result;
  }

  private void pauseReader(String daemon, String table, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    readerPausedUntilMillis = clock.millis() + pauseMillis(cause);
    log.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("reader", daemon)
        .addKeyValue("reason", String.valueOf(cause.getMessage()))
        .log("changes are read from the store itself");
  }

  /**
   * Returns the time for which the reader is not used, 0 if the failure concerns only this request.
   */
  private static long pauseMillis(Throwable cause) {
    if (cause instanceof HistoryLostException) {
      return 0;
    }
    if (cause instanceof ServingException serving) {
      return switch (serving.kind()) {
        case BODY_TOO_LARGE -> 0;
        case NOT_READY -> NOT_READY_PAUSE_MILLIS;
        default -> FAILED_PAUSE_MILLIS;
      };
    }
    return FAILED_PAUSE_MILLIS;
  }

  @Override
  public CompletableFuture<Void> write(
      String table, Map<String, byte[]> puts, List<String> deletes) {
    return store.write(table, puts, deletes);
  }
}
