package org.heatherspread.node.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * Processor time of the threads of a Java process, by what they do. Threads that have ended are not
 * counted, so that the process has to keep its compiler threads.
 *
 * @param codeMillis threads of the program
 * @param compilerMillis threads that compile its methods
 * @param collectorMillis the thread of the virtual machine, which collects garbage
 */
record ThreadCosts(double codeMillis, double compilerMillis, double collectorMillis) {
  static final ThreadCosts ZERO = new ThreadCosts(0, 0, 0);

  private static final double MILLIS_PER_TICK = 10;

  /** Index of the user time among the fields of a thread's state that follow its name. */
  private static final int USER_TICKS = 11;

  /** Reads the times of a process that runs on Linux. */
  static ThreadCosts of(Process process) throws IOException {
    ThreadCosts sum = ZERO;
    Path threads = Path.of("/proc", Long.toString(process.pid()), "task");
    try (DirectoryStream<Path> folders = Files.newDirectoryStream(threads)) {
      for (Path folder : folders) {
        sum = sum.plus(ofThread(folder));
      }
    }
    return sum;
  }

  private static ThreadCosts ofThread(Path folder) throws IOException {
    String state;
    try {
      state = Files.readString(folder.resolve("stat"));
    } catch (NoSuchFileException e) {
      // The thread has ended.
      return ZERO;
    }
    int nameEnd = state.lastIndexOf(')');
    String name = state.substring(state.indexOf('(') + 1, nameEnd);
    String[] fields = state.substring(nameEnd + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1]);
    double millis = ticks * MILLIS_PER_TICK;
    if (name.contains("CompilerThre")) {
      return new ThreadCosts(0, millis, 0);
    }
    return name.equals("VM Thread") ? new ThreadCosts(0, 0, millis) : new ThreadCosts(millis, 0, 0);
  }

  ThreadCosts plus(ThreadCosts other) {
    return new ThreadCosts(
        codeMillis + other.codeMillis,
        compilerMillis + other.compilerMillis,
        collectorMillis + other.collectorMillis);
  }

  ThreadCosts minus(ThreadCosts other) {
    return plus(other.times(-1));
  }

  ThreadCosts times(double factor) {
    return new ThreadCosts(codeMillis * factor, compilerMillis * factor, collectorMillis * factor);
  }

  double totalMillis() {
    return codeMillis + compilerMillis + collectorMillis;
  }
}
