package org.heatherspread.bench.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The processes of one run. They are killed when the group is closed or this JVM shuts down.
 *
 * <p>Thread-safe.
 */
public final class ProcessGroup implements AutoCloseable {
  private final List<JavaProcess> processes = new CopyOnWriteArrayList<>();
  private final Path dir;

  private ProcessGroup(Path dir) {
    this.dir = dir;
  }

  /** Creates an empty group that writes its log files to a directory. */
  public static ProcessGroup create(Path dir) {
    ProcessGroup group = new ProcessGroup(dir);
    Runtime.getRuntime().addShutdownHook(new Thread(group::close, "end-processes"));
    return group;
  }

  /** Returns the directory of the log files and execution logs. */
  public Path dir() {
    return dir;
  }

  /** Starts a process that belongs to the group. */
  public JavaProcess start(String name, int heapMegabytes, String mainClass, List<String> arguments)
      throws IOException {
    JavaProcess process = JavaProcess.start(name, dir, heapMegabytes, mainClass, arguments);
    processes.add(process);
    return process;
  }

  /** Returns the processes started so far. */
  public List<JavaProcess> processes() {
    return List.copyOf(processes);
  }

  @Override
  public void close() {
    processes.forEach(JavaProcess::kill);
  }
}
