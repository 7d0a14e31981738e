package org.heatherspread.node.control;

import java.time.Duration;
import java.util.function.Supplier;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one shared table: reads the whole table, then waits for changes repeatedly.
 *
 * <p>Tolerates stores that are slow, unavailable, restored from an earlier copy or without the
 * history, and watches that miss changes: each wait is short and has a timeout, and the whole table
 * is read again when history is lost, and at regular intervals regardless of the watch. Invariant:
 * at most one call is in progress.
 */
final class TableWatcher {
  private static final Logger log = LoggerFactory.getLogger(TableWatcher.class);

  private static final Duration INITIAL_RETRY_PAUSE = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_PAUSE = Duration.ofMillis(400);

  private final TaskContext context;
  private final TaskContext.Timer nextRead;
  private final WatchSettings settings;
  private final SharedStore store;
  private final StoreFreshness freshness;
  private final TableListener listener;
  private boolean fullReadNeeded = true;
  private StorePosition position = new StorePosition(0, 0);
  private long lastFullReadMillis;
  private Duration retryPause = INITIAL_RETRY_PAUSE;
  private boolean failing;

  /**
   * Settings of a watch.
   *
   * @param maxWait maximum time for which the store waits for changes, evaluated for each wait
   * @param pause pause between two calls, evaluated after each call
   * @param fullReadInterval time after which the whole table is read even if no history was lost
   */
  record WatchSettings(
      String table,
      Supplier<Duration> maxWait,
      Supplier<Duration> pause,
      Duration fullReadInterval) {}

  private TableWatcher(
      TaskContext context,
      WatchSettings settings,
      SharedStore store,
      StoreFreshness freshness,
      TableListener listener) {
    this.context = context;
    this.nextRead = context.createTimer(this::startRead);
    this.settings = settings;
    this.store = store;
    this.freshness = freshness;
    this.listener = listener;
    startRead();
  }

  /**
   * Starts a watcher.
   *
   * @param freshness updated by each read; must not be shared between tables, since a read of one
   *     table says nothing about another
   */
  static TableWatcher start(
      TaskContext context,
      WatchSettings settings,
      SharedStore store,
      StoreFreshness freshness,
      TableListener listener) {
    return new TableWatcher(context, settings, store, freshness, listener);
  }

  private void startRead() {
    StoreFreshness.ClockReading start = freshness.startRead();
    boolean fullRead =
        fullReadNeeded
            || start.monotonicMillis() - lastFullReadMillis
                >= settings.fullReadInterval().toMillis();
    // Request an immediate response after a failure: keys may be rejected until a read succeeds.
    Duration maxWait = failing ? Duration.ZERO : settings.maxWait().get();
    var future =
        fullRead
            ? store.read(settings.table())
            : store.changes(settings.table(), position, maxWait);
    context.onCompletion(
        future,
        (result, failure) -> {
          if (failure == null) {
            onReadCompleted(start, fullRead, result);
          } else {
            onReadFailed(failure);
          }
        });
  }

  private void onReadCompleted(
      StoreFreshness.ClockReading start, boolean fullRead, SharedReadResult result) {
    final boolean restored = freshness.showsRestore(result);
    if (!freshness.recordRead(start, result)) {
      onReadFailed(new IllegalStateException("store clock is behind that of an earlier read"));
      return;
    }
    if (failing) {
      failing = false;
      log.atInfo().addKeyValue("table", settings.table()).log("store reached again");
    }
    retryPause = INITIAL_RETRY_PAUSE;
    if (fullRead) {
      fullReadNeeded = false;
      lastFullReadMillis = start.monotonicMillis();
      position = result.position();
      listener.onFullRead(result, restored);
    } else {
      if (result.version() > position.version()) {
        position = result.position();
      }
      listener.onChanges(result);
    }
    Duration pause = settings.pause().get();
    if (pause.isZero()) {
      startRead();
    } else {
      nextRead.start(pause);
    }
  }

  private void onReadFailed(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    if (cause instanceof SharedStore.HistoryLostException) {
      fullReadNeeded = true;
      log.atInfo()
          .addKeyValue("table", settings.table())
          .log("history lost; reading the whole table");
      startRead();
      return;
    }
    if (!failing) {
      failing = true;
      log.atWarn()
          .addKeyValue("table", settings.table())
          .addKeyValue("reason", String.valueOf(cause.getMessage()))
          .log("store cannot be read");
    }
    listener.onFailure(String.valueOf(cause.getMessage()));
    nextRead.start(retryPause);
    retryPause =
        retryPause.multipliedBy(2).compareTo(MAX_RETRY_PAUSE) > 0
            ? MAX_RETRY_PAUSE
            : retryPause.multipliedBy(2);
  }
}
