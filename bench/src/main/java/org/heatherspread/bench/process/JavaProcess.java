package org.heatherspread.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A JVM process started by a benchmark, with its output in a log file. Life cycle: {@link #start},
 * signals, {@link #kill}.
 *
 * <p>Thread-safe.
 */
public final class JavaProcess {
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long BYTES_PER_KILOBYTE = 1_024;

  private final String name;
  private final Path logFile;
  private final Process process;
  private final long startedAtMillis = System.currentTimeMillis();
  private volatile long endedAtMillis;

  private JavaProcess(String name, Path logFile, Process process) {
    this.name = name;
    this.logFile = logFile;
    this.process = process;
  }

  /** Starts a main class on the class path of this JVM. */
  public static JavaProcess start(
      String name, Path dir, int heapMegabytes, String mainClass, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-Xmx" + heapMegabytes + "m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxMetaspaceSize=160m",
            "-cp",
            System.getProperty("java.class.path"),
            mainClass));
    command.addAll(arguments);
    Path logFile = dir.resolve(name + ".log");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(logFile.toFile())
            .start();
    return new JavaProcess(name, logFile, process);
  }

  /** Returns the name given at start. */
  public String name() {
    return name;
  }

  /** Returns the file to which all output is written. */
  public Path logFile() {
    return logFile;
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Waits for a line of output with the given prefix and returns the rest of the line; fails if the
   * process exits first.
   */
  public String awaitLine(String prefix, long timeoutMillis) throws IOException {
    long deadlineMillis = System.currentTimeMillis() + timeoutMillis;
    while (System.currentTimeMillis() < deadlineMillis) {
      for (String line : Files.readString(logFile, StandardCharsets.UTF_8).split("\n")) {
        if (line.startsWith(prefix)) {
          return line.substring(prefix.length()).strip();
        }
      }
      if (!process.isAlive()) {
        throw new IOException(name + " exited during startup; see " + logFile);
      }
      sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IOException(name + " was not ready before the timeout; see " + logFile);
  }

  /** Kills the process at once, without running its shutdown hooks. */
  public void kill() {
    recordEnd();
    process.destroyForcibly();
  }

  /** Requests an orderly shutdown of the process. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the process to exit; returns false on timeout. */
  public boolean awaitExit(long timeoutMillis) {
    try {
      boolean exited = process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
      if (exited) {
        recordEnd();
      }
      return exited;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Suspends the process; its connections stay open. */
  public void suspend() throws IOException {
    signal("STOP");
  }

  /** Resumes a suspended process. */
  public void resume() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    Process kill =
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start();
    try {
      if (kill.waitFor() != 0) {
        throw new IOException("cannot send signal " + signal + " to " + name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void recordEnd() {
    if (endedAtMillis == 0) {
      endedAtMillis = System.currentTimeMillis();
    }
  }

  /** Returns the CPU time used since the start, in seconds. */
  public double cpuSeconds() {
    return process.info().totalCpuDuration().map(d -> d.toMillis() / 1_000.0).orElse(0.0);
  }

  /** Returns the resident set size in bytes, read from {@code /proc}. */
  public long residentBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc", process.pid() + "", "status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KILOBYTE;
      }
    }
    throw new IOException("/proc status has no VmRSS of process " + name);
  }

  /**
   * Returns the time from the start until {@link #kill} or a successful {@link #awaitExit}, or
   * until now if neither was called.
   */
  public long uptimeMillis() {
    return (endedAtMillis == 0 ? System.currentTimeMillis() : endedAtMillis) - startedAtMillis;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
