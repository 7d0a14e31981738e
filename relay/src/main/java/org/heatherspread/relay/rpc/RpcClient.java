package org.heatherspread.relay.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.EndpointConnection;
import org.heatherspread.relay.endpoint.PoolSettings;
import org.heatherspread.relay.endpoint.ResponseListener;

/**
 * Makes short HTTP calls to one address over pooled connections, with responses of limited size.
 * Calls beyond the maximum in progress wait in order, within their timeouts. A call whose response
 * does not begin to arrive or stops arriving times out, which resets its connection, so that it is
 * not executed once a partition has ended, and closes the idle ones, which the partition may have
 * made unresponsive as well. Futures complete on the event loop; confined to it.
 */
public final class RpcClient {
  private static final int MAX_CALLS_IN_PROGRESS = 8;

  /** Includes connections of calls that timed out, which take a moment to close. */
  private static final int MAX_CONNECTIONS = 16;

  private static final int CONNECT_TIMEOUT_MILLIS = 600;
  private static final long MAX_IDLE_MILLIS = 8_000;

  /**
   * Duration of a call in timeouts up to which its response may go on arriving. A response of
   * hundreds of kilobytes may take longer than one timeout over a slow link.
   */
  private static final int MAX_TIMEOUTS = 4;

  /** Maximum size of a response, several times that of the largest page of the store. */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final EventLoop loop;
  private final HostPort address;
  private final ConnectionPool pool;
  private final MonotonicClock clock;
  private final RpcMetrics metrics;
  private final Queue<PendingCall> waitingCalls = new ArrayDeque<>();
  private final Set<PendingCall> pendingCalls = new LinkedHashSet<>();
  private int callsInProgress;

  private RpcClient(
      EventLoop loop,
      HostPort address,
      ConnectionPool pool,
      MonotonicClock clock,
      RpcMetrics metrics) {
    this.loop = loop;
    this.address = address;
    this.pool = pool;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Creates a client without connections. */
  public static RpcClient create(
      EventLoop loop, MonotonicClock clock, HostPort address, RpcMetrics metrics) {
    PoolSettings settings = new PoolSettings(CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
    ConnectionPool pool = ConnectionPool.create(loop, clock, settings, null);
    return new RpcClient(loop, address, pool, clock, metrics);
  }

  /**
   * Makes a call.
   *
   * @param timeout time until the response begins to arrive and between its parts; the call takes
   *     at most {@value #MAX_TIMEOUTS} times as long
   * @return fails with kind {@code STORE_UNAVAILABLE} if nothing was sent, with {@code
   *     STORE_OUTCOME_UNKNOWN} if the call may have been executed; caused by a {@link
   *     ConnectException} if nothing listens at the address
   */
  public CompletableFuture<RpcResponse> call(
      HttpMethod method,
      String target,
      Map<String, String> headers,
      byte[] body,
      Duration timeout) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (body.length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    headers.forEach((name, value) -> request.headers().set(name, value));
    CompletableFuture<RpcResponse> result = new CompletableFuture<>();
    new PendingCall(request, result).start(timeout);
    return result;
  }

  /**
   * Gives up all calls and resets their connections. A call whose bytes have not been delivered is
   * never executed; those that may have been fail with kind {@code STORE_OUTCOME_UNKNOWN}.
   */
  public void abortCalls() {
    List.copyOf(pendingCalls).forEach(call -> call.giveUp("call given up"));
  }

  private void startWaitingCalls() {
    while (callsInProgress < MAX_CALLS_IN_PROGRESS && !waitingCalls.isEmpty()) {
      waitingCalls.poll().acquireConnection();
    }
  }

  /** One call, whose future completes exactly once. */
  private final class PendingCall implements ConnectionPool.ConnectionListener, ResponseListener {
    private final FullHttpRequest request;
    private final CompletableFuture<RpcResponse> result;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ScheduledFuture<?> timeoutTask;
    private EndpointConnection connection;
    private boolean started;
    private int status;
    private HttpHeaders responseHeaders;
    private final long startMillis = clock.millis();
    private long timeoutMillis;
    private long lastProgressMillis;

    private PendingCall(FullHttpRequest request, CompletableFuture<RpcResponse> result) {
      this.request = request;
      this.result = result;
    }

    private void start(Duration timeout) {
      timeoutMillis = timeout.toMillis();
      lastProgressMillis = startMillis;
      scheduleTimeout(timeoutMillis);
      pendingCalls.add(this);
      waitingCalls.add(this);
      startWaitingCalls();
    }

    private void acquireConnection() {
      started = true;
      callsInProgress++;
      pool.acquire(address, null, MAX_CONNECTIONS, this);
    }

    private void scheduleTimeout(long millis) {
      timeoutTask = loop.schedule(this::checkProgress, millis, TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
      long endMillis = startMillis + MAX_TIMEOUTS * timeoutMillis;
      long remainingMillis =
          Math.min(lastProgressMillis + timeoutMillis, endMillis) - clock.millis();
      if (remainingMillis > 0) {
        scheduleTimeout(remainingMillis);
      } else {
        onTimeout();
      }
    }

    private void onTimeout() {
      if (connection != null) {
        pool.retire(address);
      }
      giveUp("no response within the timeout");
    }

    private void giveUp(String reason) {
      if (connection == null) {
        fail(failure(ErrorKind.STORE_UNAVAILABLE, reason + ", without a connection"));
        return;
      }
      connection.abort();
      fail(failure(ErrorKind.STORE_OUTCOME_UNKNOWN, reason));
    }

    @Override
    public void onConnected(EndpointConnection acquired) {
      if (result.isDone()) {
        acquired.releaseUnused();
        return;
      }
      connection = acquired;
      acquired.send(request, null, this);
    }

    @Override
    public void onConnectFailed(String reason, boolean refused) {
      ConnectException cause = refused ? new ConnectException(reason) : null;
      fail(ServingException.of(ErrorKind.STORE_UNAVAILABLE, address + ": " + reason, cause));
    }

    @Override
    public void onHead(HttpResponse head) {
      status = head.status().code();
      responseHeaders = head.headers();
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (body.size() + bytes.readableBytes() > MAX_RESPONSE_BYTES) {
        connection.abort();
        fail(
            failure(
                ErrorKind.STORE_OUTCOME_UNKNOWN,
                "response exceeds " + MAX_RESPONSE_BYTES + " bytes"));
        return;
      }
      lastProgressMillis = clock.millis();
      body.writeBytes(ByteBufUtil.getBytes(bytes));
    }

    @Override
    public void onComplete() {
      end(Integer.toString(status));
      result.complete(new RpcResponse(status, responseHeaders, body.toByteArray()));
    }

    @Override
    public void onFailure(String reason) {
      fail(failure(ErrorKind.STORE_OUTCOME_UNKNOWN, reason));
    }

    private void fail(ServingException failure) {
      if (result.isDone()) {
        return;
      }
      end(failure.kind().code());
      result.completeExceptionally(failure);
    }

    private void end(String outcome) {
      timeoutTask.cancel(false);
      pendingCalls.remove(this);
      metrics.recordCall(request.uri(), outcome, clock.millis() - startMillis);
      if (started) {
        callsInProgress--;
        // Runs after the connection was returned to the pool, so that it is reused.
        loop.execute(RpcClient.this::startWaitingCalls);
      } else {
        waitingCalls.remove(this);
      }
    }

    private ServingException failure(ErrorKind kind, String reason) {
      return ServingException.of(kind, address + ": " + reason);
    }
  }
}
