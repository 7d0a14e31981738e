package org.heatherspread.node.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.store.SharedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes this daemon's report to the store at a steady pace, one write under way at a time. */
final class ReportWriter extends AbstractBehavior<ReportWriter.Command> {
  private static final Logger log = LoggerFactory.getLogger(ReportWriter.class);

  /** Shared table of the reports, one row for each life of a daemon. */
  static final String TABLE = "daemons";

  /** What the actor is told. */
  enum Command {
    /** Write a report, now. */
    REPORT,
    /** The write has ended. */
    WRITTEN,
    /** The write has failed. */
    FAILED
  }

  private final String row;
  private final Supplier<DaemonReport> report;
  private final SharedStore store;
  private final TimerScheduler<Command> timers;
  private final Supplier<Duration> interval;
  private boolean writing;
  private boolean again;
  private boolean failing;

  private ReportWriter(
      ActorContext<Command> context,
      TimerScheduler<Command> timers,
      String row,
      Supplier<DaemonReport> report,
      SharedStore store,
      Supplier<Duration> interval) {
    super(context);
    this.timers = timers;
    this.interval = interval;
    this.row = row;
    this.report = report;
    this.store = store;
    context.getSelf().tell(Command.REPORT);
  }

  /**
   * Creates a reporter.
   *
   * @param row key of this life's row
   * @param interval time between two reports, asked for after each
   */
  static Behavior<Command> create(
      String row, Supplier<DaemonReport> report, SharedStore store, Supplier<Duration> interval) {
    return Behaviors.setup(
        context ->
            Behaviors.withTimers(
                timers -> new ReportWriter(context, timers, row, report, store, interval)));
  }

  @Override
  public Receive<Command> createReceive() {
    return newReceiveBuilder()
        .onMessageEquals(Command.REPORT, this::onReport)
        .onMessageEquals(Command.WRITTEN, () -> onEnd(false))
        .onMessageEquals(Command.FAILED, () -> onEnd(true))
        .build();
  }

  private Behavior<Command> onReport() {
    timers.startSingleTimer(Command.REPORT, interval.get());
    if (writing) {
      again = true;
      return this;
    }
    writing = true;
    Map<String, byte[]> rows = new HashMap<>();
    rows.put(row, ReportFormat.write(report.get()));
    getContext()
        .pipeToSelf(
            store.write(TABLE, rows, List.of()),
            (done, failure) -> failure == null ? Command.WRITTEN : Command.FAILED);
    return this;
  }

  private Behavior<Command> onEnd(boolean failed) {
    writing = false;
    if (failed != failing) {
      failing = failed;
      log.atInfo().addKeyValue("written", !failed).log("daemon report");
    }
    if (again) {
      again = false;
      if (!failed) {
        return onReport();
      }
    }
    return this;
  }
}
