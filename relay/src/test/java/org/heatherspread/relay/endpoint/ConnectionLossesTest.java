package org.heatherspread.relay.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A process in the place of another one is found by the connections that the other one had. */
class ConnectionLossesTest {
  private static final int SETTLING_MILLIS = 100;

  /** Age from which a connection shows that its process runs. */
  private static final int AGE_MILLIS = 250;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final ConnectionPool pool =
      ConnectionPool.create(
          loop, MonotonicClock.system(), new PoolSettings(1_000, 8_000), "Attempt-Id");
  private final List<HostPort> reported = new CopyOnWriteArrayList<>();
  private ServerSocket server;
  private HostPort address;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    address = new HostPort("127.0.0.1", server.getLocalPort());
    pool.onDisconnected(reported::add);
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  /** A connection and its other end. */
  private record Pair(EndpointConnection connection, Socket peer) {
    void reset() throws IOException {
      peer.setSoLinger(true, 0);
      peer.close();
    }
  }

  private Pair open() throws Exception {
    CompletableFuture<EndpointConnection> opened = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.open(
                address,
                new ConnectionPool.ConnectionListener() {
                  @Override
                  public void onConnected(EndpointConnection connection) {
                    connection.releaseUnused();
                    opened.complete(connection);
                  }

                  @Override
                  public void onConnectFailed(String reason, boolean refused) {
                    opened.completeExceptionally(new IOException(reason));
                  }
                }));
    Pair pair = new Pair(opened.get(5, TimeUnit.SECONDS), server.accept());
    TimeUnit.MILLISECONDS.sleep(10);
    return pair;
  }

  private void assertReports(int count) throws Exception {
    TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
    assertThat(reported).hasSize(count).allMatch(address::equals);
  }

  @Test
  void lossOfAllConnectionsIsReportedOnce() throws Exception {
    Pair first = open();
    Pair second = open();
    first.reset();
    second.reset();
    assertReports(1);
  }

  @Test
  void connectionThatThePeerClosesWhileItIsIdleIsLost() throws Exception {
    open().peer().close();
    assertReports(1);
  }

  /** Endpoints close connections that were idle for long, whether they run on or not. */
  @Test
  void connectionThatThePeerClosesAfterItsIdleTimeoutIsNotLost() throws Exception {
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.respond(200, "id", "hello", "Keep-Alive: timeout=1");
              TimeUnit.SECONDS.sleep(1);
              throw new IOException("the idle timeout is over");
            });
    CompletableFuture<EndpointConnection> responded = new CompletableFuture<>();
    HostPort peer = new HostPort("127.0.0.1", endpoint.port());
    loop.execute(
        () -> pool.acquire(peer, "id", 1, new ConnectionPoolTest.SendingListener("id", responded)));
    responded.get(5, TimeUnit.SECONDS);
    TimeUnit.MILLISECONDS.sleep(1_200);
    assertThat(pool.openCount(peer)).isZero();
    assertThat(reported).isEmpty();
    endpoint.close();
  }

  @Test
  void connectionThatLivesOnShowsThatThePeerRuns() throws Exception {
    Pair first = open();
    open();
    TimeUnit.MILLISECONDS.sleep(AGE_MILLIS);
    first.reset();
    assertReports(0);
  }

  @Test
  void connectionToTheNextProcessDoesNotShowThatTheFormerOneRuns() throws Exception {
    Pair first = open();
    final Pair second = open();
    TimeUnit.MILLISECONDS.sleep(AGE_MILLIS);
    first.reset();
    TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
    open();
    second.reset();
    assertReports(1);
  }

  /** The ends of the former process's connections may come after the start of the next one. */
  @Test
  void connectionThatWasOpenedJustBeforeTheLossesDoesNotShowThatThePeerRuns() throws Exception {
    Pair first = open();
    TimeUnit.MILLISECONDS.sleep(AGE_MILLIS);
    open();
    first.reset();
    assertReports(1);
  }

  @Test
  void connectionsThatThisDaemonClosesAreNotLost() throws Exception {
    Pair first = open();
    open();
    loop.submit(first.connection()::close).get();
    loop.submit(() -> pool.retire(address)).get();
    assertReports(0);
  }

  /** The last connection of the former process would have been lost, too. */
  @Test
  void connectionThatThisDaemonClosesAmidLossesProvesNothingLater() throws Exception {
    Pair first = open();
    final Pair second = open();
    TimeUnit.MILLISECONDS.sleep(AGE_MILLIS);
    first.reset();
    TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
    loop.submit(second.connection()::close).get();
    assertReports(1);
  }

  @Test
  void nextProcessIsNotReportedForConnectionsThatThisDaemonCloses() throws Exception {
    open().reset();
    assertReports(1);
    Pair next = open();
    loop.submit(next.connection()::close).get();
    assertReports(1);
  }
}
