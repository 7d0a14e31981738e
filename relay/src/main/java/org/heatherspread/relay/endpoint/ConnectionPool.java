package org.heatherspread.relay.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Pool of connections by address. Reuses the most recently used connection first, so that few stay
 * open and requests do not get stale ones. Confined to its event loop.
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
  private final ConnectionLosses losses = new ConnectionLosses();
  private Consumer<HostPort> disconnectionListener = address -> {};
  private long openedCount;
  private long unexpectedResponseCount;
  private long avoidedCount;

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
   * @param idHeader header with which responses repeat the id of the request, null if they have
   *     none
   */
  public static ConnectionPool create(
      EventLoop loop, MonotonicClock clock, PoolSettings settings, String idHeader) {
    return new ConnectionPool(loop, clock, settings, idHeader);
  }

  /** Receives the result of {@link #acquire}. */
  public interface ConnectionListener {
    /** Called with an idle connection, which must be used or released. */
    void onConnected(EndpointConnection connection);

    /**
     * Called if no connection could be opened; nothing was sent.
     *
     * @param refused whether the peer refused the connection, so that nothing listens at the
     *     address
     */
    void onConnectFailed(String reason, boolean refused);

    /** Called if no connection was opened, as there are as many as permitted. */
    default void onLimitReached(String reason) {
      onConnectFailed(reason, false);
    }
  }

  /**
   * Sets a listener to addresses to which all connections were lost, so that the process at the
   * other end may have ended.
   */
  public void onDisconnected(Consumer<HostPort> listener) {
    disconnectionListener = listener;
  }

  /** Returns the number of connections opened since the start. */
  public long openedCount() {
    return openedCount;
  }

  /** Returns the number of responses received that belong to no request in progress. */
  public long unexpectedResponseCount() {
    return unexpectedResponseCount;
  }

  /**
   * Returns how often an idle connection was not used for a request, as it had carried one with the
   * same id before.
   */
  public long avoidedCount() {
    return avoidedCount;
  }

  void recordUnexpectedResponse() {
    unexpectedResponseCount++;
  }

  long nowMillis() {
    return clock.millis();
  }

  /** Returns the number of open connections to an address. */
  public int openCount(HostPort address) {
    return openConnections.getOrDefault(address, Set.of()).size();
  }

  /**
   * Returns whether a connection to an address was opened before a time and is open still, which
   * proves that the process at the other end has not ended since.
   *
   * @param millis time on the monotonic clock
   */
  public boolean hasConnectionOpenSince(HostPort address, long millis) {
    return openConnections.getOrDefault(address, Set.of()).stream()
        .anyMatch(connection -> connection.isOpenSince(millis));
  }

  /**
   * Passes an idle connection to the listener at once, or opens a new one. The connection has not
   * carried a request with the given id, so that a late copy of an earlier response is not taken
   * for the response to this one. If all idle connections have, the new one replaces one of them:
   * endpoints accept a limited number.
   *
   * @param requestId id of the request that the connection is for, null if it has none
   * @param maxConnections maximum number of connections to the address
   */
  public void acquire(
      HostPort address, String requestId, int maxConnections, ConnectionListener listener) {
    Optional<EndpointConnection> idle = takeIdle(address, requestId);
    if (idle.isPresent()) {
      listener.onConnected(idle.get());
      return;
    }
    if (!closeLeastRecentlyUsed(address) && openCount(address) >= maxConnections) {
      listener.onLimitReached("connection limit of the endpoint reached");
      return;
    }
    connect(address, listener);
  }

  private Optional<EndpointConnection> takeIdle(HostPort address, String requestId) {
    Iterator<EndpointConnection> idle = idleConnections(address).iterator();
    long now = clock.millis();
    boolean avoided = false;
    while (idle.hasNext()) {
      EndpointConnection connection = idle.next();
      if (!connection.isUsable(now, settings.maxIdleMillis())) {
        idle.remove();
        connection.close();
      } else if (connection.canCarry(requestId)) {
        idle.remove();
        return Optional.of(connection);
      } else if (!avoided && requestId != null) {
        avoided = true;
        avoidedCount++;
        connection.logAvoided(requestId);
      }
    }
    return Optional.empty();
  }

  private ArrayDeque<EndpointConnection> idleConnections(HostPort address) {
    return idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
  }

  /** Closes an idle connection if there is one, and returns whether there was. */
  private boolean closeLeastRecentlyUsed(HostPort address) {
    EndpointConnection connection = idleConnections(address).pollLast();
    if (connection == null) {
      return false;
    }
    connectionClosed(connection, false);
    connection.close();
    return true;
  }

  /**
   * Opens a connection even if another one is idle, to find out whether a peer still listens. The
   * listener must use or release it.
   */
  public void open(HostPort address, ConnectionListener listener) {
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
                            EndpointCodec.create(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(connection);
                  }
                });
    ChannelFuture connectFuture = bootstrap.connect(address.host(), address.port());
    connection.setChannel(connectFuture.channel());
    connectFuture.addListener(
        completed -> {
          if (completed.isSuccess()) {
            connection.markOpened(clock.millis());
            listener.onConnected(connection);
            return;
          }
          connectionClosed(connection, false);
          Throwable cause = completed.cause();
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
    idleConnections(connection.address()).push(connection);
  }

  /**
   * Removes a connection.
   *
   * @param lost whether it was not this daemon that closed it
   */
  void connectionClosed(EndpointConnection connection, boolean lost) {
    HostPort address = connection.address();
    Set<EndpointConnection> connections = openConnections.get(address);
    boolean removed = connections != null && connections.remove(connection);
    if (removed && connections.isEmpty()) {
      openConnections.remove(address);
    }
    ArrayDeque<EndpointConnection> idle = idleConnections.get(connection.address());
    if (idle != null) {
      idle.remove(connection);
    }
    if (removed && losses.recordEnd(connection, lost, connections, clock.millis())) {
      disconnectionListener.accept(address);
    }
  }

  /** Closes the idle connections to an address now, and those in use after their response. */
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
