package org.heatherspread.bench.caller;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads server-sent events. The stream is closed when no line arrives within the idle timeout,
 * which ends a pending {@link #readEvent}.
 *
 * <p>Not thread-safe.
 */
final class ServerSentEventReader implements AutoCloseable {
  private static final long IDLE_TIMEOUT_MILLIS = 4_000;
  private static final long CHECK_INTERVAL_MILLIS = 500;
  private static final ScheduledExecutorService TIMEOUT_EXECUTOR =
      Executors.newScheduledThreadPool(
          1,
          r -> {
            Thread thread = new Thread(r, "caller-silence");
            thread.setDaemon(true);
            return thread;
          });

  private final BufferedReader reader;
  private final InputStream input;
  private final ScheduledFuture<?> timeoutTask;
  private volatile long lastReadNanos = System.nanoTime();

  ServerSentEventReader(InputStream input) {
    this.input = input;
    this.reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    this.timeoutTask =
        TIMEOUT_EXECUTOR.scheduleAtFixedRate(
            this::closeIfIdle, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** One event; the id is empty if the event has none. Immutable. */
  record Event(String id, String data) {}

  /** Returns the next event, or null at the end of the stream. */
  Event readEvent() throws IOException {
    String id = "";
    while (true) {
      String line = reader.readLine();
      if (line == null) {
        return null;
      }
      lastReadNanos = System.nanoTime();
      if (line.startsWith("id:")) {
        id = line.substring(3).strip();
      } else if (line.startsWith("data:")) {
        return new Event(id, line.substring(5).strip());
      }
    }
  }

  private void closeIfIdle() {
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReadNanos);
    if (idleMillis > IDLE_TIMEOUT_MILLIS) {
      close();
    }
  }

  @Override
  public void close() {
    timeoutTask.cancel(false);
    try {
      input.close();
    } catch (IOException e) {
      // The connection is abandoned anyway.
      lastReadNanos = 0;
    }
  }
}
