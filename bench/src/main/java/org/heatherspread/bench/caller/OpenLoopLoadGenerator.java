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
 * Starts calls at a constant rate, regardless of whether earlier calls have ended, and distributes
 * them over several callers in round-robin order. At most 512 calls run at once; further ones wait.
 *
 * <p>Life cycle: {@link #start}, {@link #join}. Thread-safe.
 */
public final class OpenLoopLoadGenerator {
  private static final int MAX_CONCURRENT_CALLS = 512;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final List<CompletableFuture<CallReport>> reports = new ArrayList<>();
  private final ExecutorService callExecutor =
      Executors.newFixedThreadPool(MAX_CONCURRENT_CALLS, OpenLoopLoadGenerator::newDaemonThread);
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(1, OpenLoopLoadGenerator::newDaemonThread);

  private OpenLoopLoadGenerator() {}

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "caller");
    thread.setDaemon(true);
    return thread;
  }

  /** Starts the calls; the listener receives each report on the thread of its call. */
  public static OpenLoopLoadGenerator start(
      List<? extends Caller> callers,
      List<CallSpec> specs,
      double callsPerSecond,
      Consumer<CallReport> listener) {
    OpenLoopLoadGenerator generator = new OpenLoopLoadGenerator();
    for (int i = 0; i < specs.size(); i++) {
      Caller caller = callers.get(i % callers.size());
      CallSpec spec = specs.get(i);
      CompletableFuture<CallReport> report = new CompletableFuture<>();
      generator.reports.add(report);
      long delay = (long) (i * MICROS_PER_SECOND / callsPerSecond);
      Runnable task = () -> generator.execute(caller, spec, report, listener);
      generator.scheduler.schedule(
          () -> generator.callExecutor.execute(task), delay, TimeUnit.MICROSECONDS);
    }
    return generator;
  }

  private void execute(
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

  /** Waits for all calls and returns their reports in the order of the specs. */
  public List<CallReport> join() {
    List<CallReport> results = new ArrayList<>();
    reports.forEach(r -> results.add(r.join()));
    scheduler.shutdownNow();
    callExecutor.shutdownNow();
    return results;
  }
}
