package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the callers' reports with the endpoints' execution logs. Writes are matched by their
 * path, which is unique, so that an execution under any request id is counted.
 *
 * <p>Not thread-safe.
 */
public final class InvariantChecker {
  private static final long FIRST_TOKEN_TARGET_MILLIS = 520;
  private static final long MAX_START_AFTER_NOTICE_MILLIS = 3_000;

  private final List<CallReport> reports;
  private final List<ExecutionLogReader.Entry> entries;
  private final Map<String, List<ExecutionLogReader.Entry>> entriesByRequestId = new HashMap<>();
  private final Map<String, Integer> startsByCall = new HashMap<>();
  private final List<String> findings = new ArrayList<>();

  private InvariantChecker(List<CallReport> reports, List<ExecutionLogReader.Entry> entries) {
    this.reports = reports;
    this.entries = entries;
    for (ExecutionLogReader.Entry entry : entries) {
      entriesByRequestId.computeIfAbsent(entry.requestId(), id -> new ArrayList<>()).add(entry);
      if (entry.isStart() && !entry.detail().isEmpty()) {
        startsByCall.merge(entry.detail(), 1, Integer::sum);
      }
    }
  }

  /**
   * Checks the reports and execution logs of one run.
   *
   * @param noticeMillisByInstance time of the reclaim notice by instance id, in milliseconds since
   *     the epoch
   */
  public static CheckResult check(
      List<CallReport> reports,
      List<ExecutionLogReader.Entry> entries,
      Map<String, Long> noticeMillisByInstance) {
    return new InvariantChecker(reports, entries).runChecks(noticeMillisByInstance);
  }

  private CheckResult runChecks(Map<String, Long> noticeMillisByInstance) {
    final int runTwice = countDuplicateRuns();
    final int notRunButRan = countNotRunButRan();
    final int lateStarts = countLateStarts(noticeMillisByInstance);
    addUnansweredCalls();
    long[] latencies = sortedFirstTokenMillis();
    return new CheckResult(
        reports.size(),
        count(CallReport.Outcome.ANSWERED),
        count(CallReport.Outcome.NOT_RUN),
        count(CallReport.Outcome.UNKNOWN),
        count(CallReport.Outcome.REFUSED),
        count(CallReport.Outcome.LOST),
        count(CallReport.Outcome.WRONG),
        runTwice,
        notRunButRan,
        lateStarts,
        (int) reports.stream().filter(r -> r.resumes() > 0).count(),
        sumRecomputedTokens(),
        percentile(latencies, 0.50),
        percentile(latencies, 0.95),
        shareWithinTarget(latencies),
        findings);
  }

  private int count(CallReport.Outcome outcome) {
    return (int) reports.stream().filter(r -> r.outcome() == outcome).count();
  }

  private int countDuplicateRuns() {
    int twice = 0;
    for (CallReport r : reports) {
      if (!r.spec().kind().isAtMostOnce()) {
        continue;
      }
      int starts = startsByCall.getOrDefault(r.spec().method() + " " + r.spec().path(), 0);
      if (starts > 1) {
        twice++;
        findings.add("ran " + starts + " times: " + describe(r));
      }
    }
    return twice;
  }

  private int countNotRunButRan() {
    int ran = 0;
    for (CallReport r : reports) {
      Set<String> ids = new HashSet<>(r.notRunIds());
      for (String id : ids) {
        boolean started =
            entriesByRequestId.getOrDefault(id, List.of()).stream()
                .anyMatch(ExecutionLogReader.Entry::isStart);
        if (started) {
          ran++;
          findings.add("reported as not run but ran, " + id + ": " + describe(r));
        }
      }
      int starts = startsByCall.getOrDefault(r.spec().method() + " " + r.spec().path(), 0);
      boolean write = r.spec().kind().isAtMostOnce();
      if (write && r.outcome() == CallReport.Outcome.NOT_RUN && starts > 0) {
        ran++;
        findings.add("ended as not run but ran: " + describe(r));
      }
    }
    return ran;
  }

  private int countLateStarts(Map<String, Long> noticeMillisByInstance) {
    int late = 0;
    for (ExecutionLogReader.Entry entry : entries) {
      Long noticeMillis = noticeMillisByInstance.get(entry.instance());
      if (entry.isStart()
          && noticeMillis != null
          && entry.millis() > noticeMillis + MAX_START_AFTER_NOTICE_MILLIS) {
        late++;
        findings.add(
            "started %d ms after the notice on %s: %s"
                .formatted(entry.millis() - noticeMillis, entry.instance(), entry.requestId()));
      }
    }
    return late;
  }

  private void addUnansweredCalls() {
    for (CallReport r : reports) {
      if (r.outcome() != CallReport.Outcome.ANSWERED) {
        findings.add(r.outcome() + ": " + describe(r));
      }
    }
  }

  private static String describe(CallReport r) {
    return "%s %d ids %s tries %d resumes %d after %d ms: %s"
        .formatted(
            r.spec().title(),
            r.spec().number(),
            r.requestIds(),
            r.tries(),
            r.resumes(),
            r.totalMillis(),
            r.detail());
  }

  private long sumRecomputedTokens() {
    long sum = 0;
    for (CallReport r : reports) {
      if (r.spec().kind() != CallSpec.Kind.CHAT) {
        continue;
      }
      int generated = 0;
      for (String id : new HashSet<>(r.requestIds())) {
        for (ExecutionLogReader.Entry entry : entriesByRequestId.getOrDefault(id, List.of())) {
          sum += entry.recomputedTokens();
          generated += entry.isEnd() ? entry.tokens() : 0;
        }
      }
      sum += Math.max(r.discardedTokens(), Math.max(0, generated - r.spec().maxTokens()));
    }
    return sum;
  }

  private long[] sortedFirstTokenMillis() {
    return reports.stream()
        .filter(r -> r.spec().kind() == CallSpec.Kind.CHAT)
        .mapToLong(r -> r.firstTokenMillis() < 0 ? Long.MAX_VALUE : r.firstTokenMillis())
        .sorted()
        .toArray();
  }

  private static long percentile(long[] sorted, double fraction) {
    if (sorted.length == 0) {
      return -1;
    }
    return sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
  }

  private static double shareWithinTarget(long[] sorted) {
    if (sorted.length == 0) {
      return 1;
    }
    long within = Arrays.stream(sorted).filter(t -> t <= FIRST_TOKEN_TARGET_MILLIS).count();
    return (double) within / sorted.length;
  }
}
