package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Joins what callers were told with what truly ran. Writes are joined by their path, which is
 * unique, so that a run under any id counts.
 *
 * <p>Not safe for use by several threads.
 */
public final class InvariantChecker {
  private static final long FIRST_TOKEN_TARGET_MILLIS = 520;
  private static final long LEAVING_BOUND_MILLIS = 3_000;

  private final List<CallReport> reports;
  private final List<ExecutionLogReader.Entry> lines;
  private final Map<String, List<ExecutionLogReader.Entry>> linesById = new HashMap<>();
  private final Map<String, Integer> startsByCall = new HashMap<>();
  private final List<String> faults = new ArrayList<>();

  private InvariantChecker(List<CallReport> reports, List<ExecutionLogReader.Entry> lines) {
    this.reports = reports;
    this.lines = lines;
    for (ExecutionLogReader.Entry line : lines) {
      linesById.computeIfAbsent(line.requestId(), id -> new ArrayList<>()).add(line);
      if (line.isStart() && !line.detail().isEmpty()) {
        startsByCall.merge(line.detail(), 1, Integer::sum);
      }
    }
  }

  /**
   * Checks a run.
   *
   * @param leavingSince endpoints under notice, and when it was given
   */
  public static CheckResult check(
      List<CallReport> reports,
      List<ExecutionLogReader.Entry> lines,
      Map<String, Long> leavingSince) {
    return new InvariantChecker(reports, lines).verdict(leavingSince);
  }

  private CheckResult verdict(Map<String, Long> leavingSince) {
    final int runTwice = runTwice();
    final int notRunButRan = notRunButRan();
    final int lateStarts = lateStarts(leavingSince);
    noteEnds();
    long[] firstTokens = firstTokens();
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
        recomputed(),
        percentile(firstTokens, 0.50),
        percentile(firstTokens, 0.95),
        withinTarget(firstTokens),
        faults);
  }

  private int count(CallReport.Outcome outcome) {
    return (int) reports.stream().filter(r -> r.outcome() == outcome).count();
  }

  private int runTwice() {
    int twice = 0;
    for (CallReport r : reports) {
      if (!r.spec().kind().isAtMostOnce()) {
        continue;
      }
      int starts = startsByCall.getOrDefault(r.spec().method() + " " + r.spec().path(), 0);
      if (starts > 1) {
        twice++;
        faults.add("ran " + starts + " times: " + describe(r));
      }
    }
    return twice;
  }

  private int notRunButRan() {
    int ran = 0;
    for (CallReport r : reports) {
      Set<String> ids = new HashSet<>(r.notRunIds());
      for (String id : ids) {
        boolean started =
            linesById.getOrDefault(id, List.of()).stream()
                .anyMatch(ExecutionLogReader.Entry::isStart);
        if (started) {
          ran++;
          faults.add("told not run but ran, " + id + ": " + describe(r));
        }
      }
      int starts = startsByCall.getOrDefault(r.spec().method() + " " + r.spec().path(), 0);
      boolean write = r.spec().kind().isAtMostOnce();
      if (write && r.outcome() == CallReport.Outcome.NOT_RUN && starts > 0) {
        ran++;
        faults.add("ended not run but ran: " + describe(r));
      }
    }
    return ran;
  }

  private int lateStarts(Map<String, Long> leavingSince) {
    int late = 0;
    for (ExecutionLogReader.Entry line : lines) {
      Long since = leavingSince.get(line.instance());
      if (line.isStart() && since != null && line.millis() > since + LEAVING_BOUND_MILLIS) {
        late++;
        faults.add(
            "started %d ms after the notice on %s: %s"
                .formatted(line.millis() - since, line.instance(), line.requestId()));
      }
    }
    return late;
  }

  private void noteEnds() {
    for (CallReport r : reports) {
      if (r.outcome() != CallReport.Outcome.ANSWERED) {
        faults.add(r.outcome() + ": " + describe(r));
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

  private long recomputed() {
    long sum = 0;
    for (CallReport r : reports) {
      if (r.spec().kind() != CallSpec.Kind.CHAT) {
        continue;
      }
      int generated = 0;
      for (String id : new HashSet<>(r.requestIds())) {
        for (ExecutionLogReader.Entry line : linesById.getOrDefault(id, List.of())) {
          sum += line.recomputedTokens();
          generated += line.isEnd() ? line.tokens() : 0;
        }
      }
      sum += Math.max(r.discardedTokens(), Math.max(0, generated - r.spec().maxTokens()));
    }
    return sum;
  }

  private long[] firstTokens() {
    return reports.stream()
        .filter(r -> r.spec().kind() == CallSpec.Kind.CHAT)
        .mapToLong(r -> r.firstTokenMillis() < 0 ? Long.MAX_VALUE : r.firstTokenMillis())
        .sorted()
        .toArray();
  }

  private static long percentile(long[] sorted, double share) {
    if (sorted.length == 0) {
      return -1;
    }
    return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  }

  private static double withinTarget(long[] sorted) {
    if (sorted.length == 0) {
      return 1;
    }
    long within = Arrays.stream(sorted).filter(t -> t <= FIRST_TOKEN_TARGET_MILLIS).count();
    return (double) within / sorted.length;
  }
}
