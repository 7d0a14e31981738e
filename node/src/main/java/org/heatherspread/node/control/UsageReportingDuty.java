package org.heatherspread.node.control;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.freshness.EraObservation;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the usage counts of each window once all daemons have reported theirs.
 *
 * <p>Invariant: two holders never send different counts. The first lease holder to report a window
 * writes its counts to the store, and every holder sends what is stored. A restore of the store may
 * lose counts after they were sent. A window is therefore left to the daemon that has sent it
 * already, unless the store is known to be in the same era since the window ended: no counts can
 * have been lost then. This holds for a daemon that starts after the restore too. Confined to the
 * event loop.
 */
final class UsageReportingDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(UsageReportingDuty.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final TypeReference<TreeMap<String, Integer>> COUNTS = new TypeReference<>() {};

  /** Shared table of the reported counts, with one row for each window. */
  static final String TABLE = "usage";

  /** Time after the end of a window in which counts may still be in transit. */
  private static final long SETTLING_MILLIS = 400;

  /** Share of the due time after which a window is reported without the missing daemons. */
  private static final double MAX_WAIT_SHARE = 0.8;

  /**
   * Time for which a daemon without new reports is waited for, since it may only be disconnected
   * for a while.
   */
  private static final long MAX_SILENCE_MILLIS = 12_000;

  /** Number of past windows that may still have to be reported. */
  private static final int OPEN_WINDOWS = 3;

  private final RelayState state;
  private final FleetView fleet;
  private final TableStore store;
  private final DutyClient dutyClient;
  private final LeaseClient lease;
  private final String self;
  private final long dueMillis;
  private final Supplier<String> writeIds;
  private final Set<Long> reported = new HashSet<>();
  private final Set<Long> inProgress = new HashSet<>();
  private final Set<Long> leftOut = new HashSet<>();
  private final Map<Long, String> sentCounts = new HashMap<>();

  /**
   * Creates a duty.
   *
   * @param self name of this daemon
   * @param dueMillis time after the end of a window by which it must be reported
   * @param writeIds supplies a new random write id with each call
   */
  UsageReportingDuty(
      RelayState state,
      FleetView fleet,
      TableStore store,
      DutyClient dutyClient,
      LeaseClient lease,
      String self,
      long dueMillis,
      Supplier<String> writeIds) {
    this.state = state;
    this.fleet = fleet;
    this.store = store;
    this.dutyClient = dutyClient;
    this.lease = lease;
    this.self = self;
    this.dueMillis = dueMillis;
    this.writeIds = writeIds;
  }

  @Override
  public void perform(long fencing) {
    long now = state.unixTime().unixMillis();
    long current = state.usage().windowAt(now);
    reported.removeIf(window -> window < current - 2 * OPEN_WINDOWS);
    leftOut.removeIf(window -> window < current - 2 * OPEN_WINDOWS);
    sentCounts.keySet().removeIf(window -> window < current - 2 * OPEN_WINDOWS);
    for (long window = current - OPEN_WINDOWS; window < current; window++) {
      long sinceEndMillis = now - state.usage().endMillis(window);
      boolean ready =
          sinceEndMillis >= SETTLING_MILLIS
              && (allReported(sinceEndMillis) || sinceEndMillis >= MAX_WAIT_SHARE * dueMillis);
      if (ready
          && sinceEndMillis < dueMillis
          && !reported.contains(window)
          && !inProgress.contains(window)) {
        reportWindow(window, sinceEndMillis);
      }
    }
  }

  @Override
  public void onLeaseLost() {
    reported.clear();
    leftOut.clear();
  }

  /** Returns whether every daemon that may have counts has reported since the end of the window. */
  private boolean allReported(long sinceEndMillis) {
    long endStoreMillis = endStoreMillis(sinceEndMillis);
    for (DaemonReport report : fleet.reportedWithin(MAX_SILENCE_MILLIS)) {
      if (report.atStoreMillis() < endStoreMillis + SETTLING_MILLIS) {
        return false;
      }
    }
    return true;
  }

  private void reportWindow(long window, long sinceEndMillis) {
    String sent = sentCounts.get(window);
    if (sent == null && !isInSameEraSince(sinceEndMillis)) {
      logLeftOut(window, sinceEndMillis);
      return;
    }
    inProgress.add(window);
    CompletableFuture<Optional<String>> counts =
        sent == null
            ? findOrWriteCounts(window)
            : CompletableFuture.completedFuture(Optional.of(sent));
    counts
        .thenCompose(found -> sendCounts(window, found))
        .whenComplete(
            (outcome, failure) -> {
              inProgress.remove(window);
              if (failure == null && outcome == DutyClient.Outcome.DONE) {
                reported.add(window);
                return;
              }
              log.atWarn()
                  .addKeyValue("window", window)
                  .addKeyValue("outcome", String.valueOf(outcome))
                  .addKeyValue(
                      "reason", failure == null ? "" : String.valueOf(failure.getMessage()))
                  .log("usage report not done; tried again");
            });
  }

  /** Returns whether the store has certainly not been restored since the window ended. */
  private boolean isInSameEraSince(long sinceEndMillis) {
    EraObservation era = fleet.earliest(state.storeFreshness().eraObservation());
    return era.era() == store.era() && era.sinceStoreMillis() <= endStoreMillis(sinceEndMillis);
  }

  /** Returns the time on the store's clock at which the window ended. */
  private long endStoreMillis(long sinceEndMillis) {
    return state.storeFreshness().storeMillis() - sinceEndMillis;
  }

  private void logLeftOut(long window, long sinceEndMillis) {
    if (!leftOut.add(window)) {
      return;
    }
    EraObservation era = fleet.earliest(state.storeFreshness().eraObservation());
    log.atInfo()
        .addKeyValue("window", window)
        .addKeyValue("era", store.era())
        .addKeyValue("observed_era", era.era())
        .addKeyValue("since_store_millis", era.sinceStoreMillis())
        .addKeyValue("window_end_store_millis", endStoreMillis(sinceEndMillis))
        .log("usage report left out; the store may have lost counts that were sent");
  }

  /**
   * Returns the stored counts of a window, after writing them if there are none; empty if the store
   * was restored meanwhile.
   */
  private CompletableFuture<Optional<String>> findOrWriteCounts(long window) {
    long era = store.era();
    RowKey key = new RowKey(TABLE, Long.toString(window));
    Row row = new Row(key, 1, writeIds.get(), formatCounts(sumCounts(window)));
    return store
        .put(row, Condition.absent())
        .thenCompose(
            result ->
                result == WriteResult.APPLIED
                    ? CompletableFuture.completedFuture(Optional.of(row))
                    : store.get(key))
        .thenApply(found -> found.filter(same -> store.era() == era).map(Row::body));
  }

  private CompletableFuture<DutyClient.Outcome> sendCounts(long window, Optional<String> body) {
    OptionalLong fencing = lease.fencingToken();
    if (body.isEmpty() || fencing.isEmpty()) {
      return CompletableFuture.completedFuture(DutyClient.Outcome.REFUSED);
    }
    Map<String, Integer> counts = parseCounts(body.get());
    sentCounts.putIfAbsent(window, body.get());
    log.atInfo()
        .addKeyValue("window", window)
        .addKeyValue("counts", body.get())
        .addKeyValue("fencing", fencing.getAsLong())
        .log("usage report sent");
    return dutyClient.reportUsage(self, fencing.getAsLong(), window, counts);
  }

  private Map<String, Integer> sumCounts(long window) {
    Map<String, Integer> sum = new HashMap<>();
    for (DaemonReport report : fleet.allReports()) {
      report
          .usage()
          .getOrDefault(window, Map.of())
          .forEach((account, count) -> sum.merge(account, count, Integer::sum));
    }
    return sum;
  }

  private static String formatCounts(Map<String, Integer> counts) {
    try {
      return MAPPER.writeValueAsString(new TreeMap<>(counts));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<String, Integer> parseCounts(String body) {
    try {
      return MAPPER.readValue(body, COUNTS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
