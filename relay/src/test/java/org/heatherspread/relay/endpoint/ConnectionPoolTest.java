package org.heatherspread.relay.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** No connection carries two requests with one id, as copies of the first response may come. */
class ConnectionPoolTest {
  private static final String ID_HEADER = "Attempt-Id";
  private static final int MAX_CONNECTIONS = 4;
  private static final long MAX_IDLE_MILLIS = 2_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private FakeEndpoint endpoint;
  private ConnectionPool pool;

  @BeforeEach
  void start() throws Exception {
    endpoint =
        FakeEndpoint.start(
            (request, connection) ->
                connection.respond(200, String.valueOf(request.header("attempt-id")), "hello"));
    pool = createPool(ID_HEADER);
  }

  private ConnectionPool createPool(String idHeader) {
    PoolSettings settings = new PoolSettings(1_000, MAX_IDLE_MILLIS);
    return ConnectionPool.create(loop, MonotonicClock.system(), settings, idHeader);
  }

  @AfterEach
  void stop() throws Exception {
    endpoint.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  private HostPort address() {
    return new HostPort("127.0.0.1", endpoint.port());
  }

  /** Sends a request on a connection and returns that, once its response is complete. */
  private EndpointConnection send(String id, int maxConnections) throws Exception {
    CompletableFuture<EndpointConnection> responded = new CompletableFuture<>();
    loop.execute(
        () -> pool.acquire(address(), id, maxConnections, new SendingListener(id, responded)));
    return awaitIdle(responded);
  }

  private EndpointConnection send(String id) throws Exception {
    return send(id, MAX_CONNECTIONS);
  }

  /** The connection is idle once the task that completed the response has ended. */
  private EndpointConnection awaitIdle(CompletableFuture<EndpointConnection> responded)
      throws Exception {
    EndpointConnection connection = responded.get(5, TimeUnit.SECONDS);
    loop.submit(() -> true).get();
    return connection;
  }

  @Test
  void requestIsSentOnNoConnectionThatHasCarriedItsId() throws Exception {
    EndpointConnection first = send("a");
    assertThat(send("b")).isSameAs(first);
    EndpointConnection second = send("a");
    assertThat(second).isNotSameAs(first);
    assertThat(send("b")).isSameAs(second);
    EndpointConnection third = send("a");
    assertThat(third).isNotIn(first, second);
    assertThat(send("c")).isSameAs(third);
    assertThat(pool.avoidedCount()).isEqualTo(2);
  }

  @Test
  void connectionThatHasCarriedTheIdMakesRoomWhenNoMoreMayBeOpened() throws Exception {
    EndpointConnection first = send("a", 1);
    assertThat(send("a", 1)).isNotSameAs(first);
    assertThat(pool.openCount(address())).isEqualTo(1);
  }

  @Test
  void requestWithoutIdIsSentOnAnUnusedConnection() throws Exception {
    EndpointConnection first = send("a");
    assertThat(send(null)).isNotSameAs(first);
  }

  @Test
  void connectionsToPeersWithoutIdsAreReused() throws Exception {
    pool = createPool(null);
    EndpointConnection first = send(null);
    assertThat(send(null)).isSameAs(first);
  }

  @Test
  void connectionIsReplacedOnceItHasCarriedAsManyIdsAsItHolds() throws Exception {
    EndpointConnection first = send("0");
    for (int i = 1; i < SentRequestIds.MAX_IDS; i++) {
      assertThat(send(String.valueOf(i))).isSameAs(first);
    }
    assertThat(send("next")).isNotSameAs(first);
    assertThat(pool.openedCount()).isEqualTo(2);
  }

  /** The endpoint closes a connection by the time since its last response. */
  @Test
  void connectionThatIsReleasedUnusedIsIdleSinceItsLastResponse() throws Exception {
    final EndpointConnection first = send("a");
    TimeUnit.MILLISECONDS.sleep(MAX_IDLE_MILLIS * 6 / 10);
    loop.submit(() -> pool.acquire(address(), "b", 1, new ReleasingListener())).get();
    TimeUnit.MILLISECONDS.sleep(MAX_IDLE_MILLIS * 6 / 10);
    assertThat(send("c")).isNotSameAs(first);
  }

  private static final class ReleasingListener implements ConnectionPool.ConnectionListener {
    @Override
    public void onConnected(EndpointConnection connection) {
      connection.releaseUnused();
    }

    @Override
    public void onConnectFailed(String reason, boolean refused) {
      throw new AssertionError(reason);
    }
  }

  /** Whatever hands out the connection, the second request does not reach the endpoint. */
  @Test
  void requestFailsOnConnectionThatHasCarriedItsId() throws Exception {
    EndpointConnection connection = send("a");
    CompletableFuture<EndpointConnection> responded = new CompletableFuture<>();
    loop.execute(() -> new SendingListener("a", responded).onConnected(connection));
    assertThatThrownBy(() -> awaitIdle(responded)).hasCauseInstanceOf(IOException.class);
    assertThat(endpoint.requests()).hasSize(1);
  }

  @Test
  void idsAreContainedUntilTheMaximum() {
    SentRequestIds ids = new SentRequestIds();
    for (int i = 0; i < SentRequestIds.MAX_IDS; i++) {
      assertThat(ids.mayContain("id-" + i)).isFalse();
      ids.add("id-" + i);
    }
    assertThat(ids.isFull()).isTrue();
    assertThat(ids.mayContain("id-0")).isTrue();
    assertThatThrownBy(() -> ids.add("more")).hasMessageContaining("maximum of 1024");
  }

  /** Sends a request on the connection and completes with it. */
  record SendingListener(String id, CompletableFuture<EndpointConnection> responded)
      implements ConnectionPool.ConnectionListener {
    @Override
    public void onConnected(EndpointConnection connection) {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
      if (id != null) {
        request.headers().set(ID_HEADER, id);
      }
      connection.send(request, id, new CompletionListener(connection, responded));
    }

    @Override
    public void onConnectFailed(String reason, boolean refused) {
      responded.completeExceptionally(new IOException(reason));
    }
  }

  private record CompletionListener(
      EndpointConnection connection, CompletableFuture<EndpointConnection> responded)
      implements ResponseListener {
    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onContent(ByteBuf bytes) {}

    @Override
    public void onComplete() {
      responded.complete(connection);
    }

    @Override
    public void onFailure(String reason) {
      responded.completeExceptionally(new IOException(reason));
    }
  }
}
