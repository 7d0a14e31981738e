package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Utilities for tests of daemons on loopback. Thread-safe. */
final class LoopbackSupport {
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  private LoopbackSupport() {}

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the status of a request with a key, 0 if there was no response. */
  static int requestStatus(int port, String path, String key) {
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
  interface Condition {
    boolean isMet() throws Exception;
  }

  static void await(Condition condition, long timeoutMillis) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (!condition.isMet()) {
      assertThat(System.nanoTime()).isLessThan(deadlineNanos);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }
}
