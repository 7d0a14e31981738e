package org.heatherspread.bench.relay;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A child Java process whose CPU time and memory are read from {@code /proc}. Terminated by {@link
 * #close}.
 *
 * <p>Not thread-safe.
 */
final class MeasuredProcess implements AutoCloseable {
  private static final double TICKS_PER_SECOND = 100; // USER_HZ

  /** Position of utime among the fields after the command name in /proc/PID/stat; stime is next. */
  private static final int UTIME_FIELD_INDEX = 11;

  private static final String READY_PREFIX = "READY ";

  private final Process process;
  private final int port;

  private MeasuredProcess(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  /**
   * Starts a main class from the class path of this process and waits until it prints {@code READY
   * PORT}.
   */
  static MeasuredProcess start(List<String> jvmOptions, String mainClass, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
    command.addAll(jvmOptions);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    BufferedReader output =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = output.readLine(); line != null; line = output.readLine()) {
      if (line.startsWith(READY_PREFIX)) {
        return new MeasuredProcess(
            process, Integer.parseInt(line.substring(READY_PREFIX.length())));
      }
    }
    process.destroy();
    throw new IOException(mainClass + " exited before it printed READY");
  }

  int port() {
    return port;
  }

  /** Returns the CPU time used so far, in seconds. */
  double cpuSeconds() throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(fields[UTIME_FIELD_INDEX]) + Long.parseLong(fields[UTIME_FIELD_INDEX + 1]);
    return ticks / TICKS_PER_SECOND;
  }

  /** Returns the resident memory, in megabytes. */
  double residentMegabytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    for (String line : Files.readAllLines(status)) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("\\D+", "")) / 1_024.0;
      }
    }
    throw new IOException("VmRSS is missing in " + status);
  }

  @Override
  public void close() {
    process.destroy();
  }
}
