package org.heatherspread.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drops rows that nobody needs any more: reports of daemons long gone, usage of windows long
 * reported. Without it each restart would leave a row. Confined to the event loop.
 */
final class CleanupDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(CleanupDuty.class);

  private static final long INTERVAL_MILLIS = 20_000;

  /** Age of a report that nobody waits for any more, well above any outage that is ridden out. */
  private static final long GONE_MILLIS = 60_000;

  private static final int KEPT_WINDOWS = 24;

  /** Most rows dropped in one transaction; the store takes a hundred. */
  private static final int MAX_ROWS = 50;

  private final RelayState state;
  private final FleetView fleet;
  private final SharedStore store;
  private long nextMillis;

  CleanupDuty(RelayState state, FleetView fleet, SharedStore store) {
    this.state = state;
    this.fleet = fleet;
    this.store = store;
    this.nextMillis = state.clock().millis() + INTERVAL_MILLIS;
  }

  @Override
  public void perform(long fencing) {
    long now = state.clock().millis();
    if (now < nextMillis) {
      return;
    }
    nextMillis = now + INTERVAL_MILLIS;
    drop(ReportWriter.TABLE, fleet.unchangedFor(GONE_MILLIS));
    store
        .read(UsageReportingDuty.TABLE)
        .thenCompose(this::dropUsage)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                told(UsageReportingDuty.TABLE, failure);
              }
            });
  }

  private CompletableFuture<Void> dropUsage(SharedReading reading) {
    long oldest = state.usage().windowAt(state.time().unixMillis()) - KEPT_WINDOWS;
    List<String> old = new ArrayList<>();
    for (SharedRow row : reading.rows()) {
      if (row.key().matches("\\d{1,18}") && Long.parseLong(row.key()) < oldest) {
        old.add(row.key());
      }
    }
    drop(UsageReportingDuty.TABLE, old);
    return CompletableFuture.completedFuture(null);
  }

  private void drop(String table, List<String> rows) {
    if (rows.isEmpty()) {
      return;
    }
    List<String> some = rows.subList(0, Math.min(MAX_ROWS, rows.size()));
    store
        .write(table, Map.of(), some)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                told(table, failure);
                return;
              }
              log.atInfo()
                  .addKeyValue("table", table)
                  .addKeyValue("rows", some.size())
                  .log("old rows dropped");
            });
  }

  private static void told(String table, Throwable failure) {
    // Tried again after the interval.
    log.atInfo()
        .addKeyValue("table", table)
        .addKeyValue("reason", String.valueOf(failure.getMessage()))
        .log("old rows not dropped");
  }

  @Override
  public void onLeaseLost() {
    nextMillis = state.clock().millis() + INTERVAL_MILLIS;
  }
}
