package org.heatherspread.relay.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RpcClientTest {
  private static final int CALLS = 40;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  private static List<CompletableFuture<RpcResponse>> startCalls(
      RpcClient client, Duration timeout) {
    List<CompletableFuture<RpcResponse>> calls = new ArrayList<>();
    for (int i = 0; i < CALLS; i++) {
      calls.add(client.call(HttpMethod.GET, "/", Map.of(), new byte[0], timeout));
    }
    return calls;
  }

  private RpcClient createClient(FakeEndpoint endpoint) {
    RpcMetrics metrics = RpcMetrics.create(new SimpleMeterRegistry());
    return RpcClient.create(
        loop, MonotonicClock.system(), new HostPort("127.0.0.1", endpoint.port()), metrics);
  }

  /** A burst of calls must not fail because the connections to a responsive peer are in use. */
  @Test
  void burstOfCallsWaitsForConnectionsInUse() throws Exception {
    try (FakeEndpoint endpoint =
        FakeEndpoint.start((request, connection) -> connection.respond(200, "", "ok"))) {
      RpcClient client = createClient(endpoint);
      for (CompletableFuture<RpcResponse> call :
          loop.submit(() -> startCalls(client, TIMEOUT)).get()) {
        assertThat(call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status()).isEqualTo(200);
      }
      assertThat(endpoint.requests()).hasSize(CALLS);
    }
  }

  @Test
  void endlessResponseEndsTheCallAndItsConnection() throws Exception {
    CompletableFuture<Void> closed = new CompletableFuture<>();
    AtomicLong sentBytes = new AtomicLong();
    FakeEndpoint.Script script =
        (request, connection) -> {
          String block = "x".repeat(1 << 16);
          try {
            connection.send("HTTP/1.1 200 X\r\n\r\n");
            while (true) {
              connection.send(block);
              sentBytes.addAndGet(block.length());
            }
          } finally {
            closed.complete(null);
          }
        };
    try (FakeEndpoint endpoint = FakeEndpoint.start(script)) {
      RpcClient client = createClient(endpoint);
      CompletableFuture<RpcResponse> call =
          loop.submit(() -> client.call(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT)).get();
      assertThat(call).failsWithin(Duration.ofSeconds(10));
      assertThat(closed).succeedsWithin(Duration.ofSeconds(10));
      assertThat(sentBytes.get()).isLessThan(32 << 20);
    }
  }

  @Test
  void waitingCallsFailAtTheirTimeout() throws Exception {
    try (FakeEndpoint endpoint =
        FakeEndpoint.start((request, connection) -> TimeUnit.SECONDS.sleep(60))) {
      RpcClient client = createClient(endpoint);
      for (CompletableFuture<RpcResponse> call :
          loop.submit(() -> startCalls(client, Duration.ofMillis(100))).get()) {
        assertThat(call).failsWithin(TIMEOUT);
      }
    }
  }

  /**
   * After a partition the peer may answer on new connections only. Every idle connection would cost
   * one more call its timeout, and leave what the calls read stale for as long.
   */
  @Test
  void callAfterTimeoutUsesNoOtherUnresponsiveConnection() throws Exception {
    Set<Socket> unresponsive = ConcurrentHashMap.newKeySet();
    AtomicBoolean partitioned = new AtomicBoolean();
    FakeEndpoint.Script script =
        (request, connection) -> {
          if (!partitioned.get()) {
            unresponsive.add(connection.socket());
          } else if (unresponsive.contains(connection.socket())) {
            TimeUnit.SECONDS.sleep(60);
          }
          connection.respond(200, "", "ok");
        };
    try (FakeEndpoint endpoint = FakeEndpoint.start(script)) {
      RpcClient client = createClient(endpoint);
      for (CompletableFuture<RpcResponse> call :
          loop.submit(() -> startCalls(client, TIMEOUT)).get()) {
        call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
      }
      assertThat(unresponsive).hasSizeGreaterThan(2);
      partitioned.set(true);
      assertThat(callOnce(client, Duration.ofMillis(200))).failsWithin(TIMEOUT);
      assertThat(callOnce(client, TIMEOUT)).succeedsWithin(Duration.ofSeconds(5));
    }
  }

  /** Starts an endpoint that sends a response of 20 bytes, one of them in each pause. */
  private static FakeEndpoint startSlowResponse(int sentBytes, long pauseMillis) throws Exception {
    return FakeEndpoint.start(
        (request, connection) -> {
          connection.send("HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\n");
          for (int i = 0; i < sentBytes; i++) {
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            connection.send("x");
          }
          TimeUnit.SECONDS.sleep(60);
        });
  }

  /** A large table over a slow link must not be read in vain again and again. */
  @Test
  void responseThatArrivesSlowlyOutlivesTheTimeout() throws Exception {
    try (FakeEndpoint endpoint = startSlowResponse(20, 25)) {
      CompletableFuture<RpcResponse> call =
          callOnce(createClient(endpoint), Duration.ofMillis(300));
      assertThat(call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).body()).hasSize(20);
    }
  }

  @Test
  void responseThatNoLongerArrivesFailsAtTheTimeout() throws Exception {
    try (FakeEndpoint endpoint = startSlowResponse(10, 25)) {
      long startNanos = System.nanoTime();
      CompletableFuture<RpcResponse> call =
          callOnce(createClient(endpoint), Duration.ofMillis(300));
      assertThat(call).failsWithin(TIMEOUT);
      assertThat(System.nanoTime() - startNanos).isBetween(300_000_000L, 1_100_000_000L);
    }
  }

  @Test
  void responseThatArrivesTooSlowlyFails() throws Exception {
    try (FakeEndpoint endpoint = startSlowResponse(20, 150)) {
      long startNanos = System.nanoTime();
      CompletableFuture<RpcResponse> call =
          callOnce(createClient(endpoint), Duration.ofMillis(200));
      assertThat(call).failsWithin(TIMEOUT);
      assertThat(System.nanoTime() - startNanos).isBetween(400_000_000L, 1_500_000_000L);
    }
  }

  private CompletableFuture<RpcResponse> callOnce(RpcClient client, Duration timeout)
      throws Exception {
    return loop.submit(() -> client.call(HttpMethod.GET, "/", Map.of(), new byte[0], timeout))
        .get();
  }
}
