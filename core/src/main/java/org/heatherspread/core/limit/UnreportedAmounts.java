package org.heatherspread.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Amounts of one account that this daemon admitted without the limit owner within a sliding window
 * and has not reported to the owner. Confined to one thread.
 */
final class UnreportedAmounts {
  /** Amounts admitted within this time are kept as one, which bounds the number of entries. */
  private static final long MERGE_MILLIS = 50;

  private final long windowMillis;
  private final Deque<Entry> reporting = new ArrayDeque<>();
  private final Deque<Entry> unreported = new ArrayDeque<>();

  UnreportedAmounts(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Returns the sum of the amounts in the window, those of a report in progress included. */
  double total(long nowMillis) {
    removeExpired(nowMillis);
    return sum(reporting) + sum(unreported);
  }

  void add(double amount, long nowMillis) {
    Entry last = unreported.peekLast();
    if (last == null || nowMillis - last.firstMillis > MERGE_MILLIS) {
      last = new Entry(nowMillis);
      unreported.addLast(last);
    }
    last.amount += amount;
    last.lastMillis = nowMillis;
  }

  /** Returns the amount to report, 0 if there is none or a report is in progress. */
  double startReport(long nowMillis) {
    if (!reporting.isEmpty()) {
      return 0;
    }
    removeExpired(nowMillis);
    reporting.addAll(unreported);
    unreported.clear();
    return sum(reporting);
  }

  /** Removes the amounts of the report in progress if they were charged, else keeps them. */
  void endReport(boolean charged) {
    while (!reporting.isEmpty()) {
      Entry entry = reporting.removeLast();
      if (!charged) {
        unreported.addFirst(entry);
      }
    }
  }

  private void removeExpired(long nowMillis) {
    while (!unreported.isEmpty() && nowMillis - unreported.peekFirst().lastMillis > windowMillis) {
      unreported.removeFirst();
    }
  }

  private static double sum(Deque<Entry> entries) {
    double sum = 0;
    for (Entry entry : entries) {
      sum += entry.amount;
    }
    return sum;
  }

  /** Amounts admitted from one time to another, on the monotonic clock. */
  private static final class Entry {
    private final long firstMillis;
    private long lastMillis;
    private double amount;

    private Entry(long firstMillis) {
      this.firstMillis = firstMillis;
    }
  }
}
