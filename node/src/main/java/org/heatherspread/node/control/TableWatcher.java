package org.heatherspread.node.control;

import java.time.Duration;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one shared table: reads it whole, then waits for changes again and again.
 *
 * <p>Answers stores that are slow, away, or have dropped their history, and watches that hear
 * nothing: each wait is short and has a time limit, lost history leads to a whole read, and the
 * table is read whole from time to time whatever the watch says. Invariant: one call is under way.
 */
final class TableWatcher extends AbstractBehavior<TableWatcher.Command> {
  private static final Logger log = LoggerFactory.getLogger(TableWatcher.class);

  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

  /** What the actor is told. */
  sealed interface Command {}

  private enum Step implements Command {
    GO
  }

  private record Answer(StoreFreshness.ReadStart asked, boolean whole, SharedReading reading)
      implements Command {}

  private record Failure(Throwable cause) implements Command {}

  private final WatchSettings settings;
  private final SharedStore store;
  private final StoreFreshness contact;
  private final TableListener listener;
  private final TimerScheduler<Command> timers;
  private boolean readWhole = true;
  private long version;
  private long readWholeAtMillis;
  private Duration pause = FIRST_PAUSE;
  private boolean failing;

  /**
   * How a table is watched.
   *
   * @param maxWait how long the store may hold a watch without changes
   * @param pause pause between watches
   * @param fullReadInterval how often the table is read whole all the same
   */
  record WatchSettings(
      String table,
      Supplier<Duration> maxWait,
      Supplier<Duration> pause,
      Duration fullReadInterval) {}

  private TableWatcher(
      ActorContext<Command> context,
      TimerScheduler<Command> timers,
      WatchSettings settings,
      SharedStore store,
      StoreFreshness contact,
      TableListener listener) {
    super(context);
    this.timers = timers;
    this.settings = settings;
    this.store = store;
    this.contact = contact;
    this.listener = listener;
    step();
  }

  /**
   * Creates a watcher.
   *
   * @param contact what this watcher's answers tell of the store; not shared between tables, as an
   *     answer about one table says nothing about another
   */
  static Behavior<Command> create(
      WatchSettings settings, SharedStore store, StoreFreshness contact, TableListener listener) {
    return Behaviors.setup(
        context ->
            Behaviors.withTimers(
                timers -> new TableWatcher(context, timers, settings, store, contact, listener)));
  }

  @Override
  public Receive<Command> createReceive() {
    return newReceiveBuilder()
        .onMessageEquals(
            Step.GO,
            () -> {
              step();
              return this;
            })
        .onMessage(Answer.class, this::onAnswer)
        .onMessage(Failure.class, this::onFailure)
        .build();
  }

  private void step() {
    StoreFreshness.ReadStart asked = contact.startRead();
    boolean whole =
        readWhole
            || asked.monotonicMillis() - readWholeAtMillis
                >= settings.fullReadInterval().toMillis();
    // After a failure the store is asked for an answer at once, as keys may wait for it.
    Duration hold = failing ? Duration.ZERO : settings.maxWait().get();
    var reading =
        whole ? store.read(settings.table()) : store.changes(settings.table(), version, hold);
    getContext()
        .pipeToSelf(
            reading,
            (result, failure) ->
                failure == null ? new Answer(asked, whole, result) : new Failure(failure));
  }

  private Behavior<Command> onAnswer(Answer answer) {
    if (!contact.recordRead(answer.asked.minusMillis(answer.reading.ageMillis()), answer.reading)) {
      return onFailure(new Failure(new IllegalStateException("the reading is out of date")));
    }
    if (failing) {
      failing = false;
      log.atInfo().addKeyValue("table", settings.table()).log("store reached again");
    }
    pause = FIRST_PAUSE;
    if (answer.whole) {
      readWhole = false;
      readWholeAtMillis = answer.asked.monotonicMillis();
      version = answer.reading.version();
      listener.onFullRead(answer.reading);
    } else {
      version = Math.max(version, answer.reading.version());
      listener.onChanges(answer.reading);
    }
    Duration interval = settings.pause().get();
    if (interval.isZero()) {
      step();
    } else {
      timers.startSingleTimer(Step.GO, interval);
    }
    return this;
  }

  private Behavior<Command> onFailure(Failure failure) {
    Throwable cause = failure.cause.getCause() == null ? failure.cause : failure.cause.getCause();
    if (cause instanceof SharedStore.HistoryLostException) {
      readWhole = true;
      log.atInfo()
          .addKeyValue("table", settings.table())
          .log("history lost; reading the whole table");
      step();
      return this;
    }
    if (!failing) {
      failing = true;
      log.atWarn()
          .addKeyValue("table", settings.table())
          .addKeyValue("reason", String.valueOf(cause.getMessage()))
          .log("store cannot be read");
    }
    listener.onFailure(String.valueOf(cause.getMessage()));
    timers.startSingleTimer(Step.GO, pause);
    pause =
        pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.multipliedBy(2);
    return this;
  }
}
