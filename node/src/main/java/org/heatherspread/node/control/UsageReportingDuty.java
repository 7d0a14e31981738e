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
 * Reports the usage of each window once all daemons' counts are in.
 *
 * <p>Invariant: the counts are written to the store before they are sent, if no daemon has written
 * this window's before; what is sent is what lies there, so that two holders never send different
 * counts. Confined to the event loop.
 */
final class UsageReportingDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(UsageReportingDuty.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final TypeReference<TreeMap<String, Integer>> COUNTS = new TypeReference<>() {};

  /** Shared table of the counts reported, one row for each window. */
  static final String TABLE = "usage";

  /** Time after a window's end in which counts may still be on their way. */
  private static final long SETTLE_MILLIS = 400;

  /** Part of the time allowed after which missing daemons are no longer waited for. */
  private static final double PATIENCE = 0.8;

  /** How long a daemon that stopped reporting is waited for; it may be cut off and come back. */
  private static final long AWAITED_MILLIS = 12_000;

  private static final int OLD_WINDOWS = 3;

  private final RelayState state;
  private final FleetView fleet;
  private final TableStore store;
  private final DutyClient calls;
  private final LeaseClient lease;
  private final String self;
  private final long dueMillis;
  private final Supplier<String> ids;
  private final Set<Long> done = new HashSet<>();
  private final Set<Long> underWay = new HashSet<>();

  UsageReportingDuty(
      RelayState state,
      FleetView fleet,
      TableStore store,
      DutyClient calls,
      LeaseClient lease,
      String self,
      long dueMillis,
      Supplier<String> ids) {
    this.state = state;
    this.fleet = fleet;
    this.store = store;
    this.calls = calls;
    this.lease = lease;
    this.self = self;
    this.dueMillis = dueMillis;
    this.ids = ids;
  }

  @Override
  public void perform(long fencing) {
    long now = state.time().unixMillis();
    long current = state.usage().windowAt(now);
    done.removeIf(window -> window < current - 2 * OLD_WINDOWS);
    for (long window = current - OLD_WINDOWS; window < current; window++) {
      long ended = now - state.usage().endMillis(window);
      boolean ready = ended >= SETTLE_MILLIS && (complete(ended) || ended >= PATIENCE * dueMillis);
      if (ready && ended < dueMillis && !done.contains(window) && underWay.add(window)) {
        report(window);
      }
    }
  }

  @Override
  public void onLeaseLost() {
    done.clear();
  }

  /** Tells whether every daemon that may have counted has reported since the window's end. */
  private boolean complete(long endedMillis) {
    long endStoreMillis = state.contact().storeMillis() - endedMillis;
    for (DaemonReport report : fleet.reportedWithin(AWAITED_MILLIS)) {
      if (report.atStoreMillis() < endStoreMillis + SETTLE_MILLIS) {
        return false;
      }
    }
    return true;
  }

  private void report(long window) {
    RowKey key = new RowKey(TABLE, Long.toString(window));
    Row row = new Row(key, 1, ids.get(), write(sum(window)));
    store
        .put(row, Condition.absent())
        .thenCompose(
            result ->
                result == WriteResult.APPLIED
                    ? CompletableFuture.completedFuture(Optional.of(row))
                    : store.get(key))
        .thenCompose(found -> send(window, found))
        .whenComplete(
            (outcome, failure) -> {
              underWay.remove(window);
              if (failure == null && outcome == DutyClient.Outcome.DONE) {
                done.add(window);
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

  private CompletableFuture<DutyClient.Outcome> send(long window, Optional<Row> row) {
    OptionalLong fencing = lease.fencingToken();
    if (row.isEmpty() || fencing.isEmpty()) {
      return CompletableFuture.completedFuture(DutyClient.Outcome.REFUSED);
    }
    Map<String, Integer> counts = read(row.get().body());
    log.atInfo()
        .addKeyValue("window", window)
        .addKeyValue("counts", row.get().body())
        .addKeyValue("fencing", fencing.getAsLong())
        .log("usage report sent");
    return calls.reportUsage(self, fencing.getAsLong(), window, counts);
  }

  private Map<String, Integer> sum(long window) {
    Map<String, Integer> sum = new HashMap<>();
    for (DaemonReport report : fleet.all()) {
      report
          .usage()
          .getOrDefault(window, Map.of())
          .forEach((account, count) -> sum.merge(account, count, Integer::sum));
    }
    return sum;
  }

  private static String write(Map<String, Integer> counts) {
    try {
      return MAPPER.writeValueAsString(new TreeMap<>(counts));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<String, Integer> read(String body) {
    try {
      return MAPPER.readValue(body, COUNTS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
