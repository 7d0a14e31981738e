package org.heatherspread.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.heatherspread.core.stream.StreamReport;

/**
 * Selects the reports of processes that may have begun a stream.
 *
 * <p>The report of a process that ended tells at which versions its last streams may have begun. If
 * all daemons are killed several times during a release, the reports of the first processes name
 * versions that the stream in question cannot have begun at, and its origin seems uncertain. A
 * caller that still waits for some time has begun at most the longest wait less that time ago.
 * Processes that ended before are left out; each ended before its successor under the same name
 * started.
 *
 * <p>Callers that wait anew with each try contradict this: no ended process could have begun their
 * streams, so all reports are selected. Stateless.
 */
public final class StreamReportSelector {
  /** Allows for the time that requests and first events are under way. */
  private static final long TOLERANCE_MILLIS = 250;

  private StreamReportSelector() {}

  /** Returns what all daemons report, with a placeholder for those of an earlier version. */
  public static List<StreamReport> selectAll(List<DaemonReport> daemons) {
    List<StreamReport> selected = new ArrayList<>();
    for (DaemonReport daemon : daemons) {
      selected.add(daemon.streams() == null ? StreamReport.UNKNOWN : daemon.streams());
    }
    return selected;
  }

  /**
   * Returns the reports of the processes that may have begun a stream.
   *
   * @param daemons recent reports of all daemons, also of processes that ended
   * @param storeMillis time of the store's clock
   * @param callerWaitMillis time for which the caller of the stream still waits
   */
  public static List<StreamReport> select(
      List<DaemonReport> daemons, long storeMillis, long callerWaitMillis) {
    Map<String, List<DaemonReport>> byName =
        daemons.stream().collect(Collectors.groupingBy(DaemonReport::daemon));
    List<DaemonReport> possible = new ArrayList<>();
    boolean anyEnded = false;
    for (DaemonReport daemon : daemons) {
      long endMillis = latestEndMillis(daemon, byName.get(daemon.daemon()));
      if (endMillis == Long.MAX_VALUE) {
        possible.add(daemon);
      } else if (endMillis >= earliestBegin(daemon.streams(), storeMillis, callerWaitMillis)) {
        possible.add(daemon);
        anyEnded = true;
      }
    }
    return selectAll(anyEnded ? possible : daemons);
  }

  /** Returns the earliest time at which a process can have begun the stream. */
  private static long earliestBegin(StreamReport process, long storeMillis, long callerWaitMillis) {
    return process.resumableMillis() <= 0
        ? Long.MIN_VALUE
        : storeMillis - TOLERANCE_MILLIS - (process.resumableMillis() - callerWaitMillis);
  }

  /** Returns the time by which a process had ended, {@code Long.MAX_VALUE} if it may run. */
  private static long latestEndMillis(DaemonReport daemon, List<DaemonReport> sameName) {
    long endMillis = Long.MAX_VALUE;
    for (DaemonReport other : sameName) {
      if (isSuccessor(other, daemon)) {
        endMillis = Math.min(endMillis, other.streams().startedAtStoreMillis());
      }
    }
    return endMillis;
  }

  private static boolean isSuccessor(DaemonReport other, DaemonReport daemon) {
    return !other.life().equals(daemon.life())
        && other.streams() != null
        && daemon.streams() != null
        && other.streams().era() == daemon.streams().era()
        && other.streams().startedAtStoreMillis() > daemon.atStoreMillis();
  }
}
