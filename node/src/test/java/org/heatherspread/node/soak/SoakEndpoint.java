package org.heatherspread.node.soak;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.heatherspread.platform.PlatformStandin;
import org.heatherspread.relay.FakeEndpoint;

/**
 * An endpoint behind a proxy, which registers itself and now and then is full, loses answers,
 * breaks off or sends spoilt bytes. Safe for use by any thread.
 */
final class SoakEndpoint implements AutoCloseable {
  /** Events of a whole stream. */
  static final int EVENTS = 6;

  private static final long BEAT_MILLIS = 500;
  private static final int MAX_WORK_MILLIS = 30;
  private static final int EVENT_MILLIS = 25;

  private final String id;
  private final String service;
  private final Ledger ledger;
  private final SplittableRandom random;
  private final PlatformStandin platform;
  private final FakeEndpoint endpoint;
  private final FaultProxy proxy;
  private volatile double faultShare;
  private volatile boolean leaving;
  private volatile boolean gone;

  private SoakEndpoint(
      String id, String service, Ledger ledger, SplittableRandom random, PlatformStandin platform)
      throws IOException {
    this.id = id;
    this.service = service;
    this.ledger = ledger;
    this.random = random;
    this.platform = platform;
    this.endpoint = FakeEndpoint.start(this::answer);
    this.proxy = FaultProxy.start(endpoint.port(), 100);
  }

  static SoakEndpoint start(
      String id, String service, Ledger ledger, SplittableRandom random, PlatformStandin platform)
      throws IOException {
    SoakEndpoint started = new SoakEndpoint(id, service, ledger, random, platform);
    Threads.start("beat-" + id, started::beat);
    return started;
  }

  String service() {
    return service;
  }

  FaultProxy proxy() {
    return proxy;
  }

  /** Sets the share of requests with which something goes wrong. */
  void faults(double share) {
    faultShare = share;
  }

  /** Says that it leaves, and ends some time later. */
  void leave(long afterMillis) throws InterruptedException, IOException {
    leaving = true;
    register();
    TimeUnit.MILLISECONDS.sleep(afterMillis);
    close();
  }

  private void beat() {
    while (!gone) {
      register();
      try {
        TimeUnit.MILLISECONDS.sleep(BEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void register() {
    if (!gone) {
      platform.registerEndpoint(id, service, proxy.port(), leaving);
    }
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private void answer(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws Exception {
    String attempt = request.header("attempt-id");
    if (attempt == null) {
      ledger.finding("an endpoint got a request without an id: " + request);
      connection.reset();
      return;
    }
    String expected = request.header("expected-instance");
    if (expected != null && !expected.equals(id)) {
      connection.send("HTTP/1.1 421 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    boolean faulty = draw() < faultShare;
    double kind = draw();
    if (faulty && kind < 0.25) {
      connection.send("HTTP/1.1 503 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    ledger.ran(
        new Ledger.Run(
            attempt,
            service,
            String.valueOf(request.header("tenant-name")),
            request.header("authorization") != null));
    TimeUnit.MILLISECONDS.sleep((long) (draw() * MAX_WORK_MILLIS));
    if (faulty && kind < 0.5) {
      connection.reset();
      return;
    }
    if (request.requestLine().contains("/draft/") || request.requestLine().contains("/reply/")) {
      stream(request, connection, faulty);
      return;
    }
    if (faulty && kind < 0.75) {
      connection.send(
          "HTTP/1.1 200 X\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 50\r\n\r\n");
      connection.reset();
      return;
    }
    connection.respond(200, attempt, "ok-" + attempt);
    if (faulty) {
      connection.respond(200, "other", "of-another-request");
    }
  }

  private void stream(
      FakeEndpoint.Request request, FakeEndpoint.Connection connection, boolean faulty)
      throws Exception {
    String last = request.header("last-event-id");
    int first = last == null ? 1 : Integer.parseInt(last) + 1;
    connection.startStream(request.header("attempt-id"));
    for (int event = first; event <= EVENTS; event++) {
      if (faulty && event > first + EVENTS / 2) {
        connection.sendChunk("id: " + event + "\nda");
        connection.reset();
        return;
      }
      connection.sendEvent(event);
      TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS);
    }
    connection.endStream();
  }

  @Override
  public void close() throws IOException {
    synchronized (this) {
      gone = true;
      platform.drop(PlatformStandin.ENDPOINTS, id);
    }
    proxy.close();
    endpoint.close();
  }
}
