package org.heatherspread.relay.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.FakeEndpoint.Connection;
import org.heatherspread.relay.FakeEndpoint.Request;
import org.heatherspread.relay.RelayHarness;

/**
 * Endpoints of one play that refuse requests, write copies of the refusals at any time, and are
 * replaced in place while their former registrations remain. The requests that they accept are
 * answered by {@link ModelEndpoints} with its faults. Thread-safe.
 *
 * <p>Messages on one connection do not overlap, and nothing follows a message that is delimited by
 * the end of its connection: no relay can tell such bytes from a part of the right answer.
 */
final class RefusingEndpoints implements AutoCloseable {
  private static final int[] REFUSALS = {408, 429, 429, 503, 503, 503};
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int MAX_COPIES = 3;
  private static final int MIN_COPY_DELAY_MILLIS = 10;
  private static final int MAX_COPY_DELAY_MILLIS = 2_000;
  private static final int MAX_GAP_MILLIS = 20;
  private static final int MIN_RUN_MILLIS = 10;
  private static final int MAX_RUN_MILLIS = 200;
  private static final int MAX_REGISTRATION_DELAY_MILLIS = 60;
  private static final double LIMIT_PER_SECOND = 1_000;

  private final long seed;
  private final ModelEndpoints model;
  private final RelayHarness harness;
  private final ModelPlays.Outcomes outcomes;
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(2, daemonThreads());

  RefusingEndpoints(
      long seed, ModelEndpoints model, RelayHarness harness, ModelPlays.Outcomes outcomes) {
    this.seed = seed;
    this.model = model;
    this.harness = harness;
    this.outcomes = outcomes;
  }

  private static ThreadFactory daemonThreads() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  /**
   * Starts an endpoint.
   *
   * @param id id of its first registration; those that replace it in place have a number after it
   * @param registrationMillis time until its first registration
   */
  void start(String id, int registrationMillis, SplittableRandom random) throws Exception {
    Address address = new Address(id, random);
    address.endpoint = FakeEndpoint.start(address::respond);
    endpoints.add(address.endpoint);
    address.register(id, registrationMillis);
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
  }

  /** Draws a time whose logarithm is uniform. */
  private static int drawMillis(SplittableRandom random, int min, int max) {
    return (int) (min * Math.pow((double) max / min, random.nextDouble()));
  }

  /** The endpoints that listen at one address, one after the other. */
  private final class Address {
    private final String firstId;
    private final SplittableRandom random;
    private final int refusalShare;
    private final List<String> extraHeaders;
    private final Set<String> runningIds = ConcurrentHashMap.newKeySet();
    private FakeEndpoint endpoint;
    private String currentId;
    private int replacements;
    private int requestsUntilReplacement;

    private Address(String firstId, SplittableRandom random) throws Exception {
      this.firstId = firstId;
      this.random = random;
      currentId = firstId;
      refusalShare = random.nextInt(60);
      extraHeaders =
          random.nextBoolean() ? List.of("Server-Limit: " + LIMIT_PER_SECOND) : List.of();
      drawReplacement();
      if (!extraHeaders.isEmpty()) {
        harness.nameLimit(firstId, LIMIT_PER_SECOND);
      }
    }

    private void drawReplacement() {
      boolean isReplaced = replacements < 2 && random.nextInt(3) > 0;
      requestsUntilReplacement = isReplaced ? random.nextInt(3) : Integer.MAX_VALUE;
    }

    private void register(String id, int delayMillis) throws Exception {
      if (delayMillis == 0) {
        harness.register(id, endpoint);
        return;
      }
      timer.schedule(
          () -> {
            harness.register(id, endpoint);
            return null;
          },
          delayMillis,
          TimeUnit.MILLISECONDS);
    }

    /** Counts a request and returns the id of the endpoint that gets it. */
    private synchronized String receive() throws Exception {
      if (requestsUntilReplacement-- == 0) {
        replacements++;
        currentId = firstId + '-' + replacements;
        if (!extraHeaders.isEmpty()) {
          harness.nameLimit(currentId, LIMIT_PER_SECOND);
        }
        int delay = random.nextInt(3) == 0 ? random.nextInt(MAX_REGISTRATION_DELAY_MILLIS) : 0;
        register(currentId, delay);
        drawReplacement();
      }
      return currentId;
    }

    private void respond(Request request, Connection connection) throws Exception {
      String id = receive();
      String attemptId = request.header("attempt-id");
      int arrival = arrivals.merge(attemptId, 1, Integer::sum);
      SplittableRandom draws =
          new SplittableRandom(seed * 1_000_003 + attemptId.hashCode() * 31L - arrival);
      draws.nextLong();
      boolean misdirected = !id.equals(request.header("expected-instance"));
      boolean refuses = draws.nextInt(100) < refusalShare;
      if (misdirected || draws.nextInt(200) == 0) {
        refuse(MISDIRECTED_REQUEST, request, connection, draws);
      } else if (refuses) {
        refuse(REFUSALS[draws.nextInt(REFUSALS.length)], request, connection, draws);
      } else {
        run(request, connection, draws);
      }
    }

    private void run(Request request, Connection connection, SplittableRandom draws)
        throws Exception {
      String attemptId = request.header("attempt-id");
      runningIds.add(attemptId);
      ModelEndpoints.Answer answer = model.begin(request, connection, extraHeaders);
      if (draws.nextInt(3) > 0) {
        TimeUnit.MILLISECONDS.sleep(drawMillis(draws, MIN_RUN_MILLIS, MAX_RUN_MILLIS));
      }
      synchronized (connection.out()) {
        try {
          answer.send();
        } catch (IOException e) {
          connection.socket().close();
          throw e;
        } finally {
          runningIds.remove(attemptId);
        }
      }
    }

    private void refuse(int status, Request request, Connection connection, SplittableRandom draws)
        throws IOException {
      String refusal = refusal(status, request, draws);
      boolean withCopy = draws.nextInt(4) == 0;
      synchronized (connection.out()) {
        connection.send(withCopy ? refusal + refusal : refusal);
      }
      outcomes.count("refused " + status);
      int copies = draws.nextInt(1 + MAX_COPIES);
      for (int i = 0; i < copies; i++) {
        copyLater(request.header("attempt-id"), refusal, connection, draws);
      }
    }

    private String refusal(int status, Request request, SplittableRandom draws) {
      List<String> lines = new ArrayList<>();
      lines.add("HTTP/1.1 " + status + " X");
      lines.add("Attempt-Id: " + request.header("attempt-id"));
      lines.add("Request-Not-Executed: 1");
      if (status == 503 && draws.nextInt(3) == 0) {
        lines.add("Retry-After: " + (1 + draws.nextInt(200)) / 1_000.0);
      }
      lines.addAll(extraHeaders);
      boolean isChunked = draws.nextInt(3) == 0;
      lines.add(isChunked ? "Transfer-Encoding: chunked" : "Content-Length: 4");
      String body = isChunked ? "4\r\nfull\r\n0\r\n\r\n" : "full";
      boolean isHead = request.requestLine().startsWith("HEAD");
      return String.join("\r\n", lines) + "\r\n\r\n" + (isHead ? "" : body);
    }

    /** Writes a copy at a later time, whole or in two parts. */
    private void copyLater(
        String attemptId, String refusal, Connection connection, SplittableRandom draws) {
      int delay = drawMillis(draws, MIN_COPY_DELAY_MILLIS, MAX_COPY_DELAY_MILLIS);
      int split = draws.nextInt(3) == 0 ? 1 + draws.nextInt(refusal.length() - 1) : 0;
      int gap = draws.nextInt(MAX_GAP_MILLIS);
      try {
        timer.schedule(
            () -> {
              copy(refusal, split, gap, connection);
              outcomes.count(runningIds.contains(attemptId) ? "copy during the request" : "copy");
              return null;
            },
            delay,
            TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // The play has ended.
      }
    }

    private void copy(String refusal, int split, int gapMillis, Connection connection)
        throws Exception {
      synchronized (connection.out()) {
        if (split > 0) {
          connection.send(refusal.substring(0, split));
          TimeUnit.MILLISECONDS.sleep(gapMillis);
        }
        connection.send(refusal.substring(split));
      }
    }
  }
}
