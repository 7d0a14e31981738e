package org.heatherspread.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The daemons as last read from the store.
 *
 * <p>Answers kills, freezes and store outages: a daemon counts as live while its report is not much
 * older than the newest of all, so that an outage, in which nobody writes, changes nothing; after
 * it each daemon has a while to write again. Reports of daemons that are gone are kept for their
 * usage counts until their rows are dropped. Confined to one thread.
 */
public final class FleetView {
  /** Part of the time of life that daemons have to report again after an outage. */
  private static final double RETURN_SHARE = 0.66;

  private long liveMillis;
  private final Map<String, Seen> rows = new HashMap<>();
  private long readMillis;
  private long newestMillis;

  private FleetView(long liveMillis) {
    this.liveMillis = liveMillis;
  }

  /**
   * Creates an empty view.
   *
   * @param liveMillis how long a daemon counts as live after its latest report
   */
  public static FleetView create(long liveMillis) {
    return new FleetView(liveMillis);
  }

  /** Sets how long a daemon counts as live, as the pace of reports follows the fleet. */
  public void setLivenessTimeout(long millis) {
    liveMillis = millis;
  }

  /** Notes that the store was read, whether or not anything had changed. */
  public void markRead(long nowMillis) {
    readMillis = nowMillis;
  }

  /** Takes in a report that changed. */
  public void put(String row, DaemonReport report, long nowMillis) {
    if (nowMillis - newestMillis > liveMillis) {
      outageEnded(nowMillis);
    }
    newestMillis = nowMillis;
    rows.put(row, new Seen(report, nowMillis));
  }

  /** Nobody had reported for a while: counts the silence of those that were live as shorter. */
  private void outageEnded(long nowMillis) {
    long changed = nowMillis - (long) ((1 - RETURN_SHARE) * liveMillis);
    rows.replaceAll(
        (row, seen) ->
            newestMillis - seen.changedMillis <= liveMillis
                ? new Seen(seen.report, Math.max(seen.changedMillis, changed))
                : seen);
  }

  /** Drops a report. */
  public void remove(String row) {
    rows.remove(row);
  }

  /** Drops all reports, before the whole table is read again; times of arrival are kept. */
  public void retainRows(Collection<String> present) {
    rows.keySet().retainAll(present);
  }

  /** Tells whether this report of the row, or a later one, was taken in already. */
  public boolean hasReport(String row, long sequence) {
    Seen seen = rows.get(row);
    return seen != null && seen.report.sequence() >= sequence;
  }

  /** Returns all reports, of daemons that are gone too. */
  public List<DaemonReport> allReports() {
    List<DaemonReport> all = new ArrayList<>();
    for (Seen seen : rows.values()) {
      all.add(seen.report);
    }
    return all;
  }

  /** Returns the latest report of each live daemon. */
  public List<DaemonReport> liveReports() {
    return reportedWithin(liveMillis);
  }

  /** Returns the latest report of each daemon that reported within a time before the newest one. */
  public List<DaemonReport> reportedWithin(long millis) {
    Map<String, Seen> newest = new HashMap<>();
    for (Seen seen : rows.values()) {
      if (newestMillis - seen.changedMillis > millis) {
        continue;
      }
      Seen other = newest.get(seen.report.daemon());
      if (other == null || seen.report.atStoreMillis() >= other.report.atStoreMillis()) {
        newest.put(seen.report.daemon(), seen);
      }
    }
    List<DaemonReport> live = new ArrayList<>();
    for (Seen seen : newest.values()) {
      live.add(seen.report);
    }
    return live;
  }

  /** Returns the rows whose reports have not changed for a time. */
  public List<String> rowsUnchangedFor(long millis) {
    List<String> old = new ArrayList<>();
    for (Map.Entry<String, Seen> entry : rows.entrySet()) {
      if (readMillis - entry.getValue().changedMillis > millis) {
        old.add(entry.getKey());
      }
    }
    return old;
  }

  private record Seen(DaemonReport report, long changedMillis) {}
}
