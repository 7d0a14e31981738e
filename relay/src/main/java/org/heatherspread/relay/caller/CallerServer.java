package org.heatherspread.relay.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.buffer.BufferBudget;

/** HTTP server that passes complete requests to a handler. Confined to its event loop. */
public final class CallerServer {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 16_384;
  private static final int BACKLOG = 1_024;

  /** Buffers read from one connection before the others have their turn. */
  private static final int MAX_BUFFERS_PER_READ = 16;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Supplier<ClientLimits> limits;
  private final CallerRequestHandler handler;
  private final BufferBudget buffers;
  private final CallerPressure pressure;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel listener;
  private boolean draining;

  private CallerServer(
      EventLoop loop,
      MonotonicClock clock,
      Supplier<ClientLimits> limits,
      CallerRequestHandler handler,
      BufferBudget buffers,
      CallerPressure pressure) {
    this.loop = loop;
    this.clock = clock;
    this.limits = limits;
    this.handler = handler;
    this.buffers = buffers;
    this.pressure = pressure;
  }

  /** Creates a server that is not bound yet, with the default bounds on connections of its own. */
  public static CallerServer create(
      EventLoop loop,
      MonotonicClock clock,
      Supplier<ClientLimits> limits,
      CallerRequestHandler handler,
      BufferBudget buffers) {
    CallerPressure pressure = CallerPressure.create(CallerProtection.defaults(), clock);
    return create(loop, clock, limits, handler, buffers, pressure);
  }

  /**
   * Creates a server that is not bound yet.
   *
   * @param buffers budget for the bytes that are held for callers, shared by all servers
   * @param pressure bounds on connections and heads, shared by all servers
   */
  public static CallerServer create(
      EventLoop loop,
      MonotonicClock clock,
      Supplier<ClientLimits> limits,
      CallerRequestHandler handler,
      BufferBudget buffers,
      CallerPressure pressure) {
    return new CallerServer(loop, clock, limits, handler, buffers, pressure);
  }

  /** Binds the address and accepts connections. Must not be called on the event loop. */
  public void listen(HostPort address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, exhaustiveAllocator())
            .handler(new ListenerObserver(pressure))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    CallerConnection connection = new CallerConnection(CallerServer.this);
                    channel
                        .pipeline()
                        .addLast(new RequestGate(connection, CallerServer.this))
                        .addLast(
                            new HttpServerCodec(
                                MAX_LINE_BYTES, limits.get().maxHeaderBytes(), MAX_CHUNK_BYTES))
                        .addLast(connection);
                  }
                });
    listener = bootstrap.bind(address.host(), address.port()).sync().channel();
  }

  /** Returns an allocator that reads until nothing is left, which finds a close at once. */
  private static RecvByteBufAllocator exhaustiveAllocator() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_BUFFERS_PER_READ);
  }

  /** Returns the bound port. */
  public int port() {
    return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Stops accepting connections; shuts idle ones down now and the others after their response. */
  public void drain() {
    draining = true;
    listener.close();
    List.copyOf(connections).forEach(CallerConnection::drain);
  }

  /** Closes each connection after its next response, but still accepts new ones. */
  public void closeConnectionsAfterResponse() {
    draining = true;
  }

  /** Returns the number of requests in progress. */
  public long requestsInProgress() {
    return connections.stream().filter(one -> one.progress().isRequestInProgress()).count();
  }

  /**
   * Returns the number of responses that are written, but that their callers may not have received.
   */
  public long unacknowledgedResponses() {
    List<CallerConnection> ended =
        connections.stream().filter(one -> one.progress().hasEndedWithResponse()).toList();
    if (ended.isEmpty()) {
      return 0;
    }
    AcknowledgedConnections acknowledged = AcknowledgedConnections.read();
    return ended.stream().filter(one -> !acknowledged.contains(one.channel())).count();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  boolean isDraining() {
    return draining;
  }

  ClientLimits limits() {
    return limits.get();
  }

  CallerRequestHandler handler() {
    return handler;
  }

  BufferBudget buffers() {
    return buffers;
  }

  long nowMillis() {
    return clock.millis();
  }

  CallerPressure pressure() {
    return pressure;
  }

  /** Adds a connection; returns false if there is no room for it. */
  boolean connectionOpened(CallerConnection connection) {
    return pressure.admit(connection, !handler.usesBody()) && connections.add(connection);
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
    pressure.remove(connection);
  }

  HttpHeaders problemHeaders() {
    return new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
  }

  byte[] problemBody(int status, String reason) {
    String text = reason.replaceAll("[^\\x20-\\x7e]|[\"\\\\]", " ");
    return ("{\"status\":" + status + ",\"title\":\"" + text + "\"}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Makes room if a connection could not be accepted; the listener goes on a second later. */
  private static final class ListenerObserver extends ChannelInboundHandlerAdapter {
    private final CallerPressure pressure;

    private ListenerObserver(CallerPressure pressure) {
      this.pressure = pressure;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof IOException) {
        pressure.onDescriptorsExhausted();
      }
      context.fireExceptionCaught(cause);
    }
  }
}
