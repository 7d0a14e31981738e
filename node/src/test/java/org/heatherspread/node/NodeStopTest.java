package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of callers while a daemon stops, with an endpoint that takes longer than the stop. */
class NodeStopTest {
  private static final String CONFIGURATION =
      """
      {"version": 1,
       "routes": [{"name": "r", "hostname": "localhost", "prefix": "/a/",
         "route-kind": "non_idempotent", "service": "s", "timeout-ms": 30000, "max-attempts": 1}],
       "services": [{"name": "s"}]}
      """;

  private static final String ENDPOINT =
      """
      {"service": "s", "address": "127.0.0.1:%d", "zone": "z", "concurrency-slots": 8,
       "state": "ready", "sequence-number": 1}
      """;

  private static final String HEAD =
      "POST /a/x HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: %s\r\nContent-Length: 10\r\n%s\r\n";

  private static final long ENDPOINT_MILLIS = 20_000;

  private final int callers = LoopbackSupport.freePort();
  private final int readiness = LoopbackSupport.freePort();
  private FakePlatform platform;
  private FakeEndpoint endpoint;
  private Node node;

  @BeforeEach
  void start() throws Exception {
    platform = FakePlatform.start();
    platform.write("op", "config", CONFIGURATION);
    endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              TimeUnit.MILLISECONDS.sleep(ENDPOINT_MILLIS);
              connection.respond(200, request.header("attempt-id"), "done");
            });
    platform.write("servers", "i-1", ENDPOINT.formatted(endpoint.port()));
    String settings =
        """
        [daemon]
        name = "daemon-1"
        domain = "z"
        [listen]
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        [store]
        address = "%s"
        [bounds]
        grace = "5s"
        """
            .formatted(
                callers,
                readiness,
                LoopbackSupport.freePort(),
                LoopbackSupport.freePort(),
                LoopbackSupport.freePort(),
                platform.address());
    node = Node.create(NodeSettings.parse("test", settings));
    node.start();
    LoopbackSupport.await(
        () -> LoopbackSupport.requestStatus(readiness, "/", "") == 200,
        TimeUnit.SECONDS.toMillis(10));
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    platform.close();
  }

  private Socket send(String text) throws IOException {
    Socket socket = new Socket("127.0.0.1", callers);
    socket.setSoTimeout(8_000);
    send(socket, text);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  /** The end of the process would close the connection after the endpoint may have run it. */
  @Test
  void requestInProgressAtTheEndOfTheGracePeriodGetsResponse() throws Exception {
    try (Socket caller = send(HEAD.formatted("id-1", "") + "0123456789")) {
      LoopbackSupport.await(() -> endpoint.requests().size() == 1, 5_000);
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(node::stop);
      assertThat(readAll(caller)).startsWith("HTTP/1.1 502").contains("answer-lost");
      assertThat(stopped).succeedsWithin(1, TimeUnit.SECONDS);
    }
  }

  /** Returns the response to a request that is complete 2.5 s after the start of a stop. */
  private String callWithLateBody(String headers) throws Exception {
    try (Socket caller = send(HEAD.formatted("id-1", headers) + "01234")) {
      TimeUnit.MILLISECONDS.sleep(200);
      CompletableFuture<Void> rest =
          CompletableFuture.runAsync(
              () -> {
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(2_500));
                sendUnchecked(caller, "56789");
              });
      node.stop();
      rest.join();
      return readAll(caller);
    }
  }

  private static void sendUnchecked(Socket socket, String text) {
    try {
      send(socket, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The daemon would end before the endpoint responds. */
  @Test
  void requestThatIsReadLateInTheGracePeriodIsRefusedUnsent() throws Exception {
    assertThat(callWithLateBody(""))
        .startsWith("HTTP/1.1 503")
        .contains("retry-after: ", "stopping");
    assertThat(endpoint.requests()).isEmpty();
  }

  /** It certainly ends before the daemon does. */
  @Test
  void requestThatIsReadLateWithShortDeadlineIsPassedOn() throws Exception {
    assertThat(callWithLateBody("Deadline-Remaining: 3200\r\n")).startsWith("HTTP/1.1 504");
    assertThat(endpoint.requests()).hasSize(1);
  }
}
