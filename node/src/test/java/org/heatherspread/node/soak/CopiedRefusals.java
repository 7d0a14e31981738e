package org.heatherspread.node.soak;

import java.io.IOException;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.heatherspread.relay.FakeEndpoint.Connection;

/**
 * Refusals of an endpoint with copies, which it writes on the same connection at once or later, in
 * one part or two. Each has the id of the request that was refused, which may run by then.
 *
 * <p>Invariant: a copy is written between two responses of its connection, never within one, as
 * whoever writes a response holds the monitor of the socket. Thread-safe.
 */
final class CopiedRefusals {
  private static final int MISDIRECTED = 421;

  private static final int[] STATUSES = {408, 429, 503};

  /** One in so many requests is refused when it reaches the endpoint for the first time. */
  private static final int REFUSED_DIVISOR = 8;

  private static final int MAX_COPIES = 3;
  private static final double COPY_AT_ONCE_PROBABILITY = 0.1;
  private static final double MIN_DELAY_MILLIS = 10;
  private static final double MAX_DELAY_MILLIS = 2_000;
  private static final double REST_PROBABILITY = 0.3;
  private static final double MAX_REST_SECONDS = 0.3;
  private static final double SPLIT_PROBABILITY = 0.5;
  private static final int MAX_PART_PAUSE_MILLIS = 60;

  /** Duration of a request that was refused before, in which many of the copies arrive. */
  private static final int MIN_RUN_MILLIS = 100;

  private static final int MAX_RUN_MILLIS = 400;

  private final SplittableRandom random;
  private final Set<String> refusedIds = ConcurrentHashMap.newKeySet();

  /** Creates refusals that take all choices from a source that nothing else uses. */
  CopiedRefusals(SplittableRandom random) {
    this.random = random;
  }

  private synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private synchronized double nextDouble() {
    return random.nextDouble();
  }

  /** Returns whether a request is refused now, which depends on its id and happens once. */
  boolean refuses(String id) {
    return Math.floorMod(id.hashCode(), REFUSED_DIVISOR) == 0 && !refusedIds.contains(id);
  }

  /** Returns how long a request runs in addition. */
  long additionalRunMillis(String id) {
    return refusedIds.contains(id) ? MIN_RUN_MILLIS + nextInt(MAX_RUN_MILLIS - MIN_RUN_MILLIS) : 0;
  }

  /** Refuses a request with a random status, and copies the refusal. */
  void refuse(String id, Connection connection, String... headers) throws IOException {
    int status = STATUSES[nextInt(STATUSES.length)];
    String rest = "";
    if (status != STATUSES[0] && nextDouble() < REST_PROBABILITY) {
      double seconds = MAX_REST_SECONDS * nextDouble();
      rest = String.format(Locale.ROOT, "Retry-After: %.3f\r\n", seconds);
    }
    writeWithCopies(status, id, connection, rest + Connection.lines(headers));
  }

  /** Refuses a request that is meant for another endpoint, and copies the refusal. */
  void refuseMisdirected(String id, Connection connection) throws IOException {
    writeWithCopies(MISDIRECTED, id, connection, "");
  }

  private void writeWithCopies(int status, String id, Connection connection, String headerLines)
      throws IOException {
    refusedIds.add(id);
    String refusal =
        "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nRequest-Not-Executed: 1\r\n".formatted(status, id)
            + headerLines
            + "Content-Length: 4\r\n\r\nfull";
    synchronized (connection.socket()) {
      connection.send(refusal);
    }
    int copies = 1 + nextInt(MAX_COPIES);
    for (int i = 0; i < copies; i++) {
      DaemonThreads.start("copy-" + id, () -> copy(refusal, connection));
    }
  }

  private void copy(String refusal, Connection connection) {
    try {
      if (nextDouble() >= COPY_AT_ONCE_PROBABILITY) {
        double factor = Math.pow(MAX_DELAY_MILLIS / MIN_DELAY_MILLIS, nextDouble());
        TimeUnit.MILLISECONDS.sleep((long) (MIN_DELAY_MILLIS * factor));
      }
      int end = nextDouble() < SPLIT_PROBABILITY ? 1 + nextInt(refusal.length() - 1) : 0;
      synchronized (connection.socket()) {
        connection.send(refusal.substring(0, end));
        if (end > 0) {
          TimeUnit.MILLISECONDS.sleep(nextInt(MAX_PART_PAUSE_MILLIS));
        }
        connection.send(refusal.substring(end));
      }
    } catch (IOException e) {
      // The connection was closed meanwhile, as it may be.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
