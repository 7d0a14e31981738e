package org.heatherspread.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Amounts under one limit that this daemon admitted without the limit owner within a sliding
 * window, and whether it has reported them to the owner. Confined to one thread.
 */
final class UnreportedAmounts {
  /** Amounts admitted within this time are kept as one, which bounds the number of entries. */
  private static final long MERGE_MILLIS = 50;

  private final long windowMillis;
  private final Deque<Entry> reporting = new ArrayDeque<>();
  private final Deque<Entry> unreported = new ArrayDeque<>();
  private final Deque<Entry> reported = new ArrayDeque<>();

  UnreportedAmounts(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Returns the sum of the unreported amounts, those of a report in progress included. */
  double total(long nowMillis) {
    removeExpired(unreported, nowMillis);
    return sum(reporting) + sum(unreported);
  }

  /** Returns the sum of all amounts in the window, whether reported or not. */
  double totalWithReported(long nowMillis) {
    removeExpired(reported, nowMillis);
    return total(nowMillis) + sum(reported);
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
    removeExpired(unreported, nowMillis);
    reporting.addAll(unreported);
    unreported.clear();
    return sum(reporting);
  }

  /** Ends the report in progress; its amounts stay unreported unless they were charged. */
  void endReport(boolean charged, long nowMillis) {
    removeExpired(reported, nowMillis);
    if (charged) {
      reported.addAll(reporting);
      reporting.clear();
    }
    while (!reporting.isEmpty()) {
      unreported.addFirst(reporting.removeLast());
    }
  }

  private void removeExpired(Deque<Entry> entries, long nowMillis) {
    while (!entries.isEmpty() && nowMillis - entries.peekFirst().lastMillis > windowMillis) {
      entries.removeFirst();
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
