package org.heatherspread.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes obsolete rows: reports of stopped daemons and usage counts of past windows. Every restart
 * of a daemon adds a row, so the tables would grow without bound otherwise. Confined to the event
 * loop.
 */
final class CleanupDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(CleanupDuty.class);

  private static final long INTERVAL_MILLIS = 20_000;

  /**
   * Time without a change after which a daemon report is deleted, well above the longest store
   * outage that the daemons tolerate.
   */
  private static final long REPORT_RETENTION_MILLIS = 60_000;

  private static final int RETAINED_USAGE_WINDOWS = 24;

  /** Maximum number of rows deleted in one transaction; the store accepts 100. */
  private static final int MAX_ROWS_PER_TRANSACTION = 50;

  private final RelayState state;
  private final FleetView fleet;
  private final SharedStore store;
  private long nextCleanupMillis;

  CleanupDuty(RelayState state, FleetView fleet, SharedStore store) {
    this.state = state;
    this.fleet = fleet;
    this.store = store;
    this.nextCleanupMillis = state.clock().millis() + INTERVAL_MILLIS;
  }

  @Override
  public void perform(long fencing) {
    long now = state.clock().millis();
    if (now < nextCleanupMillis) {
      return;
    }
    nextCleanupMillis = now + INTERVAL_MILLIS;
    deleteRows(ReportWriter.TABLE, fleet.rowsUnchangedFor(REPORT_RETENTION_MILLIS));
    store
        .read(UsageReportingDuty.TABLE)
        .thenCompose(this::deleteOldUsage)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                logFailure(UsageReportingDuty.TABLE, failure);
              }
            });
  }

  private CompletableFuture<Void> deleteOldUsage(SharedReadResult result) {
    long oldestRetained =
        state.usage().windowAt(state.unixTime().unixMillis()) - RETAINED_USAGE_WINDOWS;
    List<String> obsolete = new ArrayList<>();
    for (SharedRow row : result.rows()) {
      if (row.key().matches("\\d{1,18}") && Long.parseLong(row.key()) < oldestRetained) {
        obsolete.add(row.key());
      }
    }
    deleteRows(UsageReportingDuty.TABLE, obsolete);
    return CompletableFuture.completedFuture(null);
  }

  private void deleteRows(String table, List<String> keys) {
    if (keys.isEmpty()) {
      return;
    }
    List<String> batch = keys.subList(0, Math.min(MAX_ROWS_PER_TRANSACTION, keys.size()));
    store
        .write(table, Map.of(), batch)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                logFailure(table, failure);
                return;
              }
              log.atInfo()
                  .addKeyValue("table", table)
                  .addKeyValue("rows", batch.size())
                  .log("old rows dropped");
            });
  }

  /** Logs a failed deletion; the next run retries it. */
  private static void logFailure(String table, Throwable failure) {
    log.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("reason", String.valueOf(failure.getMessage()))
        .log("old rows not dropped");
  }

  @Override
  public void onLeaseLost() {
    nextCleanupMillis = state.clock().millis() + INTERVAL_MILLIS;
  }
}
