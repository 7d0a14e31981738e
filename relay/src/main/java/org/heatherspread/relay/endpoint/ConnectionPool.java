package org.heatherspread.relay.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Kept connections by address, the most recently used first, so that few are held open and those
 * that fell silent are not found by requests. Confined to its event loop.
 */
public final class ConnectionPool {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final PoolSettings settings;
  private final String idHeader;
  private final Map<HostPort, ArrayDeque<EndpointConnection>> idleConnections = new HashMap<>();
  private final Map<HostPort, Set<EndpointConnection>> openConnections = new HashMap<>();
  private final Set<HostPort> retiredAddresses = new HashSet<>();
  private long openedCount;

  private ConnectionPool(
      EventLoop loop, MonotonicClock clock, PoolSettings settings, String idHeader) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.idHeader = idHeader;
  }

  /**
   * Creates an empty pool.
   *
   * @param idHeader header by which answers name their requests, null where they don't
   */
  public static ConnectionPool create(
      EventLoop loop, MonotonicClock clock, PoolSettings settings, String idHeader) {
    return new ConnectionPool(loop, clock, settings, idHeader);
  }

  /** Receives a connection or the reason why there is none. */
  public interface ConnectionListener {
    /** Gives a connection that carries nothing; it is to be used or given back. */
    void onConnected(EndpointConnection connection);

    /**
     * No connection could be opened; nothing was sent.
     *
     * @param refused whether nobody listens at the address
     */
    void onConnectFailed(String reason, boolean refused);
  }

  /** Returns how many connections were opened since the start. */
  public long openedCount() {
    return openedCount;
  }

  /** Returns how many connections to an address are open. */
  public int openCount(HostPort address) {
    return openConnections.getOrDefault(address, Set.of()).size();
  }

  /**
   * Gives a kept connection at once, or opens one.
   *
   * @param limit most connections to the address
   */
  public void acquire(HostPort address, int limit, ConnectionListener listener) {
    ArrayDeque<EndpointConnection> idle = idleConnections.get(address);
    long now = clock.millis();
    while (idle != null && !idle.isEmpty()) {
      EndpointConnection connection = idle.pop();
      if (connection.isUsable(now, settings.maxIdleMillis())) {
        listener.onConnected(connection);
        return;
      }
      connection.close();
    }
    if (openCount(address) >= limit) {
      listener.onConnectFailed("connection limit of the endpoint reached", false);
      return;
    }
    connect(address, listener);
  }

  private void connect(HostPort address, ConnectionListener listener) {
    retiredAddresses.remove(address);
    EndpointConnection connection = new EndpointConnection(this, address, idHeader);
    openConnections.computeIfAbsent(address, key -> new HashSet<>()).add(connection);
    openedCount++;
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(
                                MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false, true))
                        .addLast(connection);
                  }
                });
    ChannelFuture connecting = bootstrap.connect(address.host(), address.port());
    connection.setChannel(connecting.channel());
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.markIdle(clock.millis());
            listener.onConnected(connection);
            return;
          }
          connectionClosed(connection);
          Throwable cause = done.cause();
          boolean refused =
              cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
          listener.onConnectFailed("cannot connect: " + cause.getMessage(), refused);
        });
  }

  void release(EndpointConnection connection) {
    if (!connection.isReusable() || retiredAddresses.contains(connection.address())) {
      connection.close();
      return;
    }
    connection.markIdle(clock.millis());
    idleConnections
        .computeIfAbsent(connection.address(), key -> new ArrayDeque<>())
        .push(connection);
  }

  void connectionClosed(EndpointConnection connection) {
    Set<EndpointConnection> connections = openConnections.get(connection.address());
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      openConnections.remove(connection.address());
    }
    ArrayDeque<EndpointConnection> idle = idleConnections.get(connection.address());
    if (idle != null) {
      idle.remove(connection);
    }
  }

  /** Closes the idle connections to an address; those in use close when their exchange ends. */
  public void retire(HostPort address) {
    ArrayDeque<EndpointConnection> idle = idleConnections.remove(address);
    if (openConnections.containsKey(address)) {
      retiredAddresses.add(address);
    }
    while (idle != null && !idle.isEmpty()) {
      idle.pop().close();
    }
  }
}
