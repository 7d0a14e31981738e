package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Bodies that do not all fit into the memory of the daemon, beside small requests. */
class LargeBodiesTest {
  private static final int HEAP_BYTES = 32 << 20;
  private static final int BODY_BYTES = 4 << 20;
  private static final int PART_BYTES = 1 << 18;
  private static final int UPLOADS = 20;
  private static final int UPLOADS_THAT_FIT = 5;
  private static final int TIMEOUT_MILLIS = 15_000;
  private static final int SMALL_CALLERS = 4;
  private static final int MIN_SMALL_REQUESTS = 10;

  /** Size of the responses to slow readers, nearly all that one may have of this heap. */
  private static final int LARGE_BYTES = 15 << 19;

  private static final int SLOW_READERS = 10;
  private static final int SLOW_READER_BUFFER_BYTES = 1 << 16;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private RelayHarness harness;
  private FakeEndpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.startWithHeap(HEAP_BYTES);
    ServingConfig config = RelayHarness.config(2, RelayHarness.UNREACHED_LIMIT, TIMEOUT_MILLIS);
    harness.onLoop(state -> state.updateConfig(config));
    endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              if (request.requestLine().contains("/large")) {
                connection.respond(200, id, "x".repeat(LARGE_BYTES));
                return;
              }
              connection.respond(200, id, "{length: " + request.body().length() + "}");
            });
    harness.register(endpoint);
  }

  @AfterEach
  void stop() throws Exception {
    threads.shutdownNow();
    harness.close();
    endpoint.close();
  }

  /** Sends a body in parts, all of them even if the response comes before, and reads then. */
  private String upload(String id, String lengthHeader, boolean chunked, long pauseMillis)
      throws Exception {
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/write/a", id, lengthHeader, "Connection: close");
      String part = "x".repeat(PART_BYTES);
      String text = chunked ? Integer.toHexString(PART_BYTES) + "\r\n" + part + "\r\n" : part;
      for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
        caller.send(text);
        Thread.sleep(pauseMillis);
      }
      caller.send(chunked ? "0\r\n\r\n" : "");
      return caller.readUntil("\r\n\r\n") + caller.readUntil("}");
    }
  }

  private CompletableFuture<String> startUpload(String id, boolean chunked, long pauseMillis) {
    String header = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES;
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return upload(id, header, chunked, pauseMillis);
          } catch (Exception e) {
            return "failed: " + e;
          }
        },
        threads);
  }

  /** Sends some small requests on one connection until told to stop; returns the first lines. */
  private List<String> sendSmall(int number, AtomicBoolean done) {
    List<String> lines = new ArrayList<>();
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.socket().setTcpNoDelay(true);
      for (int i = 0; i < MIN_SMALL_REQUESTS || !done.get(); i++) {
        harness.recordStoreRead();
        caller.request("POST", "/write/s", "small-" + number + '-' + i, "Content-Length: 6");
        caller.send("hello}");
        lines.add(caller.readUntil("}").lines().findFirst().orElse("closed"));
        Thread.sleep(5);
      }
    } catch (Exception e) {
      lines.add("failed: " + e);
    }
    return lines;
  }

  private void assertNoneOfSmallLost(boolean chunked) throws Exception {
    AtomicBoolean done = new AtomicBoolean();
    List<CompletableFuture<List<String>>> small = new ArrayList<>();
    for (int i = 0; i < SMALL_CALLERS; i++) {
      int number = i;
      small.add(CompletableFuture.supplyAsync(() -> sendSmall(number, done), threads));
    }
    List<CompletableFuture<String>> uploads = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      uploads.add(startUpload("upload-" + i, chunked, 20));
    }
    List<String> responses = new ArrayList<>();
    for (CompletableFuture<String> upload : uploads) {
      responses.add(upload.get(30, TimeUnit.SECONDS));
    }
    done.set(true);
    for (CompletableFuture<List<String>> caller : small) {
      assertThat(caller.get(10, TimeUnit.SECONDS))
          .allMatch(line -> line.startsWith("HTTP/1.1 200"));
    }
    List<String> refused = responses.stream().filter(text -> !text.contains(" 200 ")).toList();
    assertThat(refused)
        .hasSizeBetween(1, UPLOADS - 1)
        .allMatch(text -> text.startsWith("HTTP/1.1 503"))
        .allMatch(text -> text.toLowerCase(Locale.ROOT).contains("retry-after: "))
        .allMatch(text -> text.toLowerCase(Locale.ROOT).contains("connection: close"))
        .allMatch(text -> text.contains("buffers-full"));
    long run =
        endpoint.requests().stream()
            .filter(request -> request.header("attempt-id").startsWith("upload-"))
            .count();
    assertThat(run).isEqualTo(UPLOADS - refused.size());
    assertThat(run).isGreaterThanOrEqualTo(UPLOADS_THAT_FIT);
    harness.onLoop(state -> assertThat(state.buffers().usedBytes()).isZero());
  }

  @Test
  void uploadsBeyondTheMemoryAreRefusedBesideSmallRequests() throws Exception {
    assertNoneOfSmallLost(false);
  }

  @Test
  void chunkedUploadsBeyondTheMemoryAreRefusedBesideSmallRequests() throws Exception {
    assertNoneOfSmallLost(true);
  }

  /** The refusal comes before the body, so that its caller need not send it. */
  @Test
  void uploadIsRefusedAtItsHead() throws Exception {
    List<RelayHarness.Caller> callers = new ArrayList<>();
    for (int i = 0; i <= UPLOADS_THAT_FIT; i++) {
      callers.add(harness.caller());
      callers.get(i).request("POST", "/write/a", "id-" + i, "Content-Length: " + BODY_BYTES);
      callers.get(i).send("x");
      Thread.sleep(50);
    }
    assertThat(callers.get(UPLOADS_THAT_FIT).readUntil("}")).startsWith("HTTP/1.1 503");
    for (RelayHarness.Caller caller : callers) {
      caller.close();
    }
    Thread.sleep(200);
    harness.onLoop(state -> assertThat(state.buffers().usedBytes()).isZero());
  }

  /** Large responses wait for readers that are slow, and small ones go on beside them. */
  @Test
  void responsesThatWaitForSlowReadersAreCountedBesideSmallRequests() throws Exception {
    List<RelayHarness.Caller> slow = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      RelayHarness.Caller caller = harness.caller();
      caller.socket().setReceiveBufferSize(SLOW_READER_BUFFER_BYTES);
      caller.request("POST", "/write/large", "slow-" + i, "Connection: close");
      slow.add(caller);
      Thread.sleep(100);
    }
    AtomicLong heldBytes = new AtomicLong();
    harness.onLoop(state -> heldBytes.set(state.buffers().usedBytes()));
    AtomicBoolean done = new AtomicBoolean(true);
    assertThat(sendSmall(0, done)).allMatch(line -> line.startsWith("HTTP/1.1 200"));
    harness.onLoop(state -> assertThat(state.buffers().maxBytes()).isGreaterThan(heldBytes.get()));
    int whole = 0;
    for (RelayHarness.Caller caller : slow) {
      String response = caller.readAll();
      boolean isWhole = response.startsWith("HTTP/1.1 200") && response.length() > LARGE_BYTES;
      assertThat(isWhole || isRefusal(response)).isTrue();
      whole += isWhole ? 1 : 0;
      caller.close();
    }
    // Counted while they waited: the bytes of all but what the sockets took.
    assertThat(whole).isBetween(1, SLOW_READERS - 1);
    assertThat(heldBytes.get()).isGreaterThan(LARGE_BYTES);
    harness.onLoop(state -> assertThat(state.buffers().usedBytes()).isZero());
  }

  private static boolean isRefusal(String text) {
    return text.startsWith("HTTP/1.1 50") && text.endsWith("}");
  }
}
