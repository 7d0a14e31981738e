package org.heatherspread.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.freshness.EraObservation;

/**
 * The reports of all daemons as last read from the store.
 *
 * <p>A daemon counts as live while its report is at most the liveness timeout older than the newest
 * report of all daemons. Killed and frozen daemons therefore cease to be live, but a store outage,
 * in which no daemon can write, changes nothing; after an outage each daemon gets a grace period to
 * report again. Reports of stopped daemons are kept for their usage counts until their rows are
 * dropped. Confined to one thread.
 */
public final class FleetView {
  /** Fraction of the liveness timeout that daemons get to report again after a store outage. */
  private static final double OUTAGE_GRACE_RATIO = 0.66;

  private long livenessTimeoutMillis;
  private final Map<String, ReceivedReport> rows = new HashMap<>();
  private long lastReadMillis;
  private long newestReportMillis = Long.MIN_VALUE / 2;

  private FleetView(long livenessTimeoutMillis) {
    this.livenessTimeoutMillis = livenessTimeoutMillis;
  }

  /**
   * Creates an empty view.
   *
   * @param livenessTimeoutMillis time for which a daemon counts as live after its latest report
   */
  public static FleetView create(long livenessTimeoutMillis) {
    return new FleetView(livenessTimeoutMillis);
  }

  /** Sets the liveness timeout, which follows the report interval and so the size of the fleet. */
  public void setLivenessTimeout(long timeoutMillis) {
    livenessTimeoutMillis = timeoutMillis;
  }

  /** Records that the store was read, whether or not anything had changed. */
  public void markRead(long nowMillis) {
    lastReadMillis = nowMillis;
  }

  /**
   * Stores a report that may have been written long before it was read for the first time. It
   * renews nothing: a process that starts finds the reports of daemons that ended before.
   *
   * @param ageMillis time since it was written
   */
  public void putOld(String row, DaemonReport report, long ageMillis, long nowMillis) {
    long writtenMillis = nowMillis - ageMillis;
    newestReportMillis = Math.max(newestReportMillis, writtenMillis);
    rows.put(row, new ReceivedReport(report, writtenMillis, nowMillis));
  }

  /** Stores a report that changed. */
  public void put(String row, DaemonReport report, long nowMillis) {
    if (nowMillis - newestReportMillis > livenessTimeoutMillis) {
      extendAfterOutage(nowMillis);
    }
    newestReportMillis = nowMillis;
    rows.put(row, new ReceivedReport(report, nowMillis, nowMillis));
  }

  /**
   * Grants the daemons that were live before an outage a grace period to report again, by moving
   * the receive times of their reports forward.
   */
  private void extendAfterOutage(long nowMillis) {
    long earliest = nowMillis - (long) ((1 - OUTAGE_GRACE_RATIO) * livenessTimeoutMillis);
    rows.replaceAll(
        (row, received) ->
            newestReportMillis - received.receivedMillis <= livenessTimeoutMillis
                ? received.receivedAtLeast(earliest)
                : received);
  }

  /** Removes the report of a row. */
  public void remove(String row) {
    rows.remove(row);
  }

  /** Removes the reports of all rows but the given ones; receive times of the others are kept. */
  public void retainRows(Collection<String> presentRows) {
    rows.keySet().retainAll(presentRows);
  }

  /** Returns whether this report of the row, or a later one, has been stored. */
  public boolean hasReport(String row, long sequence) {
    ReceivedReport received = rows.get(row);
    return received != null && received.report.sequence() >= sequence;
  }

  /** Returns all reports, including those of stopped daemons. */
  public List<DaemonReport> allReports() {
    List<DaemonReport> all = new ArrayList<>();
    for (ReceivedReport received : rows.values()) {
      all.add(received.report);
    }
    return all;
  }

  /**
   * Returns all reports, including those of stopped daemons, that are at most this much older than
   * the newest one by the store's clock.
   */
  public List<DaemonReport> writtenWithin(long millis) {
    List<DaemonReport> all = allReports();
    long newest = all.stream().mapToLong(DaemonReport::atStoreMillis).max().orElse(0);
    return all.stream().filter(report -> newest - report.atStoreMillis() <= millis).toList();
  }

  /**
   * Returns the earliest observation of the store's era in any report, including those of stopped
   * daemons, or the given one if none is earlier.
   */
  public EraObservation earliest(EraObservation own) {
    EraObservation earliest = own;
    for (ReceivedReport received : rows.values()) {
      EraObservation other = received.report.storeEra();
      earliest = other == null ? earliest : earliest.earliest(other);
    }
    return earliest;
  }

  /** Returns the latest report of each live daemon. */
  public List<DaemonReport> liveReports() {
    return reportedWithin(livenessTimeoutMillis);
  }

  /**
   * Returns the latest report of each daemon whose report is at most this much older than the
   * newest report of all daemons.
   */
  public List<DaemonReport> reportedWithin(long millis) {
    Map<String, ReceivedReport> newest = new HashMap<>();
    for (ReceivedReport received : rows.values()) {
      if (newestReportMillis - received.receivedMillis > millis) {
        continue;
      }
      ReceivedReport other = newest.get(received.report.daemon());
      if (other == null || received.report.atStoreMillis() >= other.report.atStoreMillis()) {
        newest.put(received.report.daemon(), received);
      }
    }
    List<DaemonReport> live = new ArrayList<>();
    for (ReceivedReport received : newest.values()) {
      live.add(received.report);
    }
    return live;
  }

  /** Returns the rows whose reports had not changed for longer than this when last read. */
  public List<String> rowsUnchangedFor(long millis) {
    List<String> old = new ArrayList<>();
    for (Map.Entry<String, ReceivedReport> entry : rows.entrySet()) {
      if (lastReadMillis - entry.getValue().readMillis > millis) {
        old.add(entry.getKey());
      }
    }
    return old;
  }

  /**
   * A report.
   *
   * @param receivedMillis time from which its validity counts
   * @param readMillis time at which this process read it
   */
  private record ReceivedReport(DaemonReport report, long receivedMillis, long readMillis) {
    private ReceivedReport receivedAtLeast(long millis) {
      return new ReceivedReport(report, Math.max(receivedMillis, millis), readMillis);
    }
  }
}
