package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes calls at a steady rate, whatever becomes of earlier ones, shared out over several callers.
 *
 * <p>Life cycle: {@link #start}, {@link #join}. Safe for use by any thread.
 */
public final class OpenLoopLoadGenerator {
  private static final int THREADS = 512;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final List<CompletableFuture<CallReport>> reports = new ArrayList<>();
  private final ExecutorService threads =
      Executors.newFixedThreadPool(THREADS, OpenLoopLoadGenerator::daemon);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(1, OpenLoopLoadGenerator::daemon);

  private OpenLoopLoadGenerator() {}

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "caller");
    thread.setDaemon(true);
    return thread;
  }

  /** Starts the calls; the listener is told of each report. */
  public static OpenLoopLoadGenerator start(
      List<? extends Caller> callers,
      List<CallSpec> specs,
      double callsPerSecond,
      Consumer<CallReport> listener) {
    OpenLoopLoadGenerator run = new OpenLoopLoadGenerator();
    for (int i = 0; i < specs.size(); i++) {
      Caller caller = callers.get(i % callers.size());
      CallSpec spec = specs.get(i);
      CompletableFuture<CallReport> report = new CompletableFuture<>();
      run.reports.add(report);
      long delay = (long) (i * MICROS_PER_SECOND / callsPerSecond);
      Runnable task = () -> run.make(caller, spec, report, listener);
      run.timer.schedule(() -> run.threads.execute(task), delay, TimeUnit.MICROSECONDS);
    }
    return run;
  }

  private void make(
      Caller caller,
      CallSpec spec,
      CompletableFuture<CallReport> report,
      Consumer<CallReport> listener) {
    try {
      CallReport result = caller.call(spec);
      listener.accept(result);
      report.complete(result);
    } catch (RuntimeException e) {
      report.completeExceptionally(e);
    }
  }

  /** Waits for all calls and returns their reports in the order of the plans. */
  public List<CallReport> join() {
    List<CallReport> done = new ArrayList<>();
    reports.forEach(r -> done.add(r.join()));
    timer.shutdownNow();
    threads.shutdownNow();
    return done;
  }
}
