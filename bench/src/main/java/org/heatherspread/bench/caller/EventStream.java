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
 * Reads server-sent events and closes the connection when it is silent for too long.
 *
 * <p>Not safe for use by several threads.
 */
final class EventStream implements AutoCloseable {
  private static final long SILENCE_MILLIS = 4_000;
  private static final long CHECK_MILLIS = 500;
  private static final ScheduledExecutorService WATCH =
      Executors.newScheduledThreadPool(
          1,
          r -> {
            Thread thread = new Thread(r, "caller-silence");
            thread.setDaemon(true);
            return thread;
          });

  private final BufferedReader reader;
  private final InputStream input;
  private final ScheduledFuture<?> watch;
  private volatile long lastByteNanos = System.nanoTime();

  EventStream(InputStream input) {
    this.input = input;
    this.reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    this.watch =
        WATCH.scheduleAtFixedRate(
            this::closeIfSilent, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** One event; the id is empty where the event has none. Immutable. */
  record Event(String id, String data) {}

  /** Returns the next event, or null at the end of the stream. */
  Event next() throws IOException {
    String id = "";
    while (true) {
      String line = reader.readLine();
      if (line == null) {
        return null;
      }
      lastByteNanos = System.nanoTime();
      if (line.startsWith("id:")) {
        id = line.substring(3).strip();
      } else if (line.startsWith("data:")) {
        return new Event(id, line.substring(5).strip());
      }
    }
  }

  private void closeIfSilent() {
    long silent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
    if (silent > SILENCE_MILLIS) {
      close();
    }
  }

  @Override
  public void close() {
    watch.cancel(false);
    try {
      input.close();
    } catch (IOException e) {
      // The connection is given up anyway.
      lastByteNanos = 0;
    }
  }
}
