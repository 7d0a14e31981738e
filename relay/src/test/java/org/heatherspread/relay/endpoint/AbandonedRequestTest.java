package org.heatherspread.relay.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.rpc.RpcClient;
import org.heatherspread.relay.rpc.RpcMetrics;
import org.heatherspread.relay.rpc.RpcResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests that were given up while their bytes are still with TCP, as behind a network partition,
 * at a peer that reads them later.
 */
class AbandonedRequestTest {
  /** Less than the bytes of a request, so that the rest stays with the sender. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private static final int BODY_BYTES = 1 << 17;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket();
    listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    listener.setSoTimeout((int) TIMEOUT.toMillis());
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }

  private HostPort address() {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  private Socket accept() throws IOException {
    Socket socket = listener.accept();
    socket.setSoTimeout((int) TIMEOUT.toMillis());
    return socket;
  }

  private RpcClient createClient() {
    RpcMetrics metrics = RpcMetrics.create(new SimpleMeterRegistry());
    return RpcClient.create(loop, MonotonicClock.system(), address(), metrics);
  }

  private CompletableFuture<RpcResponse> call(RpcClient client, int bodyBytes, Duration timeout)
      throws Exception {
    byte[] body = new byte[bodyBytes];
    return loop.submit(() -> client.call(HttpMethod.POST, "/", Map.of(), body, timeout)).get();
  }

  private static void assertReset(Socket socket) {
    assertThatThrownBy(() -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()))
        .isInstanceOf(SocketException.class);
  }

  @Test
  void callThatTimedOutDoesNotArriveLater() throws Exception {
    CompletableFuture<RpcResponse> call = call(createClient(), BODY_BYTES, SHORT_TIMEOUT);
    try (Socket socket = accept()) {
      assertThat(call).failsWithin(TIMEOUT);
      assertReset(socket);
    }
  }

  @Test
  void callThatWasAbortedDoesNotArriveLater() throws Exception {
    RpcClient client = createClient();
    CompletableFuture<RpcResponse> call = call(client, BODY_BYTES, TIMEOUT);
    try (Socket socket = accept()) {
      assertThat(socket.getInputStream().read()).isEqualTo('P');
      loop.submit(client::abortCalls).get();
      assertThat(call).isCompletedExceptionally();
      assertReset(socket);
    }
  }

  @Test
  void requestToAnEndpointThatWasGivenUpDoesNotArriveLater() throws Exception {
    ConnectionPool pool =
        ConnectionPool.create(
            loop, MonotonicClock.system(), new PoolSettings(1_000, 8_000), "Attempt-Id");
    CompletableFuture<EndpointConnection> connected = new CompletableFuture<>();
    loop.execute(() -> pool.acquire(address(), "id", 1, new SendingListener(connected)));
    EndpointConnection connection = connected.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    try (Socket socket = accept()) {
      assertThat(socket.getInputStream().read()).isEqualTo('P');
      loop.submit(connection::abort).get();
      assertReset(socket);
    }
  }

  /** A reset would discard what the peer has not read yet, and look like a crash. */
  @Test
  void connectionIsClosedInOrderAfterItsResponse() throws Exception {
    CompletableFuture<RpcResponse> call = call(createClient(), 0, TIMEOUT);
    try (Socket socket = accept()) {
      readHead(socket.getInputStream());
      String response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      assertThat(call).succeedsWithin(TIMEOUT);
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** A connection that was idle carries the next call like a new one. */
  @Test
  void callThatTimedOutOnReusedConnectionDoesNotArriveLater() throws Exception {
    RpcClient client = createClient();
    CompletableFuture<RpcResponse> first = call(client, 0, TIMEOUT);
    try (Socket socket = accept()) {
      readHead(socket.getInputStream());
      String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      assertThat(first).succeedsWithin(TIMEOUT);
      assertThat(call(client, BODY_BYTES, SHORT_TIMEOUT)).failsWithin(TIMEOUT);
      assertReset(socket);
    }
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
  }

  /** Sends a request whose body exceeds what the peer's system accepts unread. */
  private record SendingListener(CompletableFuture<EndpointConnection> connected)
      implements ConnectionPool.ConnectionListener {
    @Override
    public void onConnected(EndpointConnection connection) {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.POST,
              "/",
              Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
      connection.send(request, "id", new IgnoringListener());
      connected.complete(connection);
    }

    @Override
    public void onConnectFailed(String reason, boolean refused) {
      connected.completeExceptionally(new IOException(reason));
    }
  }

  /** Listener of a request whose response is not expected. */
  private static final class IgnoringListener implements ResponseListener {
    @Override
    public void onHead(HttpResponse head) {
      throw new AssertionError("response of a peer that does not respond");
    }

    @Override
    public void onContent(ByteBuf bytes) {
      throw new AssertionError("response of a peer that does not respond");
    }

    @Override
    public void onComplete() {
      throw new AssertionError("response of a peer that does not respond");
    }

    @Override
    public void onFailure(String reason) {
      // An aborted request has no outcome.
    }
  }
}
