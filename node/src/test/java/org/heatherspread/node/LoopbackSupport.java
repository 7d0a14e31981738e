package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Utilities for tests of daemons on loopback. Thread-safe. */
public final class LoopbackSupport {
  private static final int MIN_PORT = 12_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_PORT_ATTEMPTS = 100;
  private static final Path RESERVATIONS =
      Path.of(System.getProperty("java.io.tmpdir"), "heatherspread-test-ports");

  /** Locked while this process runs; the channels must stay reachable to keep their locks. */
  private static final Map<Integer, FileChannel> RESERVED_PORTS = new ConcurrentHashMap<>();

  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  private LoopbackSupport() {}

  /**
   * Returns a free port below the ephemeral port range, so that no other program is assigned it
   * before a daemon binds it or while the daemon is down. Returns no port twice, also not to tests
   * that run at the same time in other processes.
   */
  public static int freePort() {
    for (int attempts = 0; attempts < MAX_PORT_ATTEMPTS; attempts++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (!reserve(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use; another one is tried.
        continue;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    throw new IllegalStateException("no free port found");
  }

  /** Reserves a port for this process until it ends, unless it is reserved already. */
  private static synchronized boolean reserve(int port) {
    if (RESERVED_PORTS.containsKey(port)) {
      return false;
    }
    try {
      Files.createDirectories(RESERVATIONS);
      FileChannel channel =
          FileChannel.open(
              RESERVATIONS.resolve(Integer.toString(port)),
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE);
      if (channel.tryLock() == null) {
        channel.close();
        return false;
      }
      RESERVED_PORTS.put(port, channel);
      return true;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the status of a request with a key, 0 if there was no response. */
  public static int requestStatus(int port, String path, String key) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://localhost:" + port + path))
            .header("Authorization", "Bearer " + key)
            .timeout(Duration.ofSeconds(5))
            .build();
    try {
      return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** A condition that is polled until it is met. */
  public interface Condition {
    /** Returns whether the condition is met. */
    boolean isMet() throws Exception;
  }

  /** Polls a condition until it is met; fails after the timeout. */
  public static void await(Condition condition, long timeoutMillis) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (!condition.isMet()) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
