package org.heatherspread.node.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.store.SharedStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes this daemon's report to the store at regular intervals and on request. Invariant: at most
 * one write is in progress.
 */
final class ReportWriter {
  private static final Logger log = LoggerFactory.getLogger(ReportWriter.class);

  /** Shared table of the reports, with one row for each incarnation of a daemon. */
  static final String TABLE = "daemons";

  private final TaskContext context;
  private final TaskContext.Timer nextReport;
  private final String rowKey;
  private final Supplier<DaemonReport> report;
  private final SharedStore store;
  private final Supplier<Duration> interval;
  private final BooleanSupplier onWritten;
  private boolean writing;
  private boolean writeRequested;
  private boolean failing;

  private ReportWriter(
      TaskContext context,
      String rowKey,
      Supplier<DaemonReport> report,
      SharedStore store,
      Supplier<Duration> interval,
      BooleanSupplier onWritten) {
    this.context = context;
    this.nextReport = context.createTimer(this::report);
    this.onWritten = onWritten;
    this.interval = interval;
    this.rowKey = rowKey;
    this.report = report;
    this.store = store;
    // A report costs a twentieth of the start and says nothing before the daemon is ready.
    nextReport.start(interval.get());
  }

  /**
   * Starts a writer, whose first report is written after an interval or on request.
   *
   * @param rowKey key of the row of this incarnation
   * @param interval time between two reports, evaluated after each
   * @param onWritten called after each successful write; returns whether another report is needed
   */
  static ReportWriter start(
      TaskContext context,
      String rowKey,
      Supplier<DaemonReport> report,
      SharedStore store,
      Supplier<Duration> interval,
      BooleanSupplier onWritten) {
    return new ReportWriter(context, rowKey, report, store, interval, onWritten);
  }

  /** Writes a report now, or after the write that is in progress. */
  void report() {
    nextReport.start(interval.get());
    if (writing) {
      writeRequested = true;
      return;
    }
    writing = true;
    Map<String, byte[]> rows = new HashMap<>();
    rows.put(rowKey, ReportFormat.write(report.get()));
    context.onCompletion(
        store.write(TABLE, rows, List.of()), (done, failure) -> onWriteCompleted(failure != null));
  }

  private void onWriteCompleted(boolean failed) {
    writing = false;
    writeRequested |= !failed && onWritten.getAsBoolean();
    if (failed != failing) {
      failing = failed;
      log.atInfo().addKeyValue("written", !failed).log("daemon report");
    }
    if (writeRequested) {
      writeRequested = false;
      if (!failed) {
        report();
      }
    }
  }
}
