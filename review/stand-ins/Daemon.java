import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One daemon process, started with the {@code run} line of the deploy file. */
final class Daemon {
  private static final String SETTINGS =
      """
      [daemon]
      name = "%s"
      domain = "z1"
      [listen]
      callers = "127.0.0.1:%d"
      readiness = "127.0.0.1:%d"
      directory = "127.0.0.1:%d"
      metrics = "127.0.0.1:%d"
      peers = "127.0.0.1:%d"
      [store]
      address = "127.0.0.1:%d"
      [cloud]
      address = "127.0.0.1:%d"
      duties = "usage_reporting,autoscaling"
      [bounds]
      revocation = "5000ms"
      grace = "8s"
      retry_ratio = 0.2
      retry_extra = 56
      retry_window = "10s"
      usage_window = "5s"
      usage_due = "10s"
      directory_ttl_max = "5s"
      limit_window = "8s"
      limit_overshoot = 0.1
      limit_tolerance = 140000
      """;

  private static final long MAX_LOG_BYTES = 4_000_000;

  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(12_000, 30_000));

  final String name;
  private final AtomicLong logBytes = new AtomicLong();
  final int callers = freePort();
  final int readiness = freePort();
  final int directory = freePort();
  private final Path root;
  private final Path folder;
  private final Path settings;
  private Process process;
  private int starts;

  Daemon(String name, Path root, Path folder, int storePort) throws IOException {
    this(name, root, folder, storePort, storePort);
  }

  Daemon(String name, Path root, Path folder, int storePort, int cloudPort) throws IOException {
    this.name = name;
    this.root = root;
    this.folder = folder;
    this.settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            name, callers, readiness, directory, freePort(), freePort(), storePort, cloudPort));
  }

  /** Returns a port below the range from which the system takes the ports of clients. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = NEXT_PORT.getAndIncrement();
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // In use; the next one is tried.
      }
    }
    throw new IOException("no free port");
  }

  /** Returns the words of the run line in the deploy file. */
  private static List<String> command(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(text.split(" ")));
      }
    }
    throw new IOException("no run line in the deploy file");
  }

  void start() throws IOException {
    starts++;
    ProcessBuilder builder = new ProcessBuilder(command(root));
    builder.directory(root.toFile());
    builder.environment().put("HEATHERSPREAD_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    process = builder.start();
    InputStream output = process.getInputStream();
    Path log = log();
    Worker.daemonThread(() -> copyLog(output, log));
  }

  /** Copies the output of the process to a file of limited size and counts all of it. */
  private void copyLog(InputStream output, Path log) {
    try (output;
        OutputStream file = Files.newOutputStream(log)) {
      byte[] block = new byte[65_536];
      long written = 0;
      for (int got = output.read(block); got >= 0; got = output.read(block)) {
        logBytes.addAndGet(got);
        if (written < MAX_LOG_BYTES) {
          file.write(block, 0, got);
          written += got;
        }
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /** Returns the number of bytes that the process has written to its log. */
  long logBytes() {
    return logBytes.get();
  }

  Path log() {
    return folder.resolve(name + "." + starts + ".log");
  }

  boolean ready() {
    return get(readiness, "/v1/readiness") == 200;
  }

  void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!ready()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IllegalStateException(name + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  static int get(int port, String path) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
      connection.setConnectTimeout(1000);
      connection.setReadTimeout(1000);
      return connection.getResponseCode();
    } catch (IOException e) {
      return 0;
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  /** Returns the processor time of the process so far, in milliseconds. */
  long cpuMillis() {
    return process.info().totalCpuDuration().map(time -> time.toMillis()).orElse(0L);
  }

  void signal(String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }
}
