package org.heatherspread.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.heatherspread.core.serving.HostPort;

/**
 * A kept connection that carries one exchange at a time.
 *
 * <p>Invariants: bytes that arrive while no request waits close the connection; an answer with
 * another request's id is skipped, and the connection is not used again; an answer whose end is the
 * end of the connection counts as whole only if the connection was closed in order. Confined to its
 * event loop.
 */
public final class EndpointConnection extends ChannelInboundHandlerAdapter {
  /** How long before an idle limit that the peer stated a connection is no longer used. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

  private final ConnectionPool pool;
  private final HostPort address;
  private final String idHeader;
  private Channel channel;
  private Exchange exchange;
  private String expectedId;
  private ChannelFuture written;
  private boolean fresh = true;
  private boolean headSeen;
  private boolean skipping;
  private boolean reusable = true;
  private boolean reset;
  private long keepAliveMillis = Long.MAX_VALUE;
  private long idleSinceMillis;

  EndpointConnection(ConnectionPool pool, HostPort address, String idHeader) {
    this.pool = pool;
    this.address = address;
    this.idHeader = idHeader;
  }

  HostPort address() {
    return address;
  }

  void opened(Channel opened) {
    channel = opened;
  }

  /** Tells whether the connection can carry a request now. */
  boolean usable(long nowMillis, long maxIdleMillis) {
    long idle = nowMillis - idleSinceMillis;
    long limit = Math.min(maxIdleMillis, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    return reusable && channel.isActive() && idle <= limit;
  }

  void idleSince(long nowMillis) {
    idleSinceMillis = nowMillis;
  }

  /**
   * Sends a request.
   *
   * @param requestId id that the answer must carry, null where answers carry none
   */
  public void send(FullHttpRequest request, String requestId, Exchange receiver) {
    fresh = false;
    exchange = receiver;
    expectedId = requestId;
    headSeen = false;
    skipping = false;
    written = channel.writeAndFlush(request);
  }

  /** Tells whether the connection was opened just now and has carried nothing. */
  public boolean fresh() {
    return fresh;
  }

  /** Pauses or resumes reading, for a slow receiver. */
  public void reading(boolean on) {
    channel.config().setAutoRead(on);
  }

  /** Gives up the exchange; the endpoint sees its connection close. */
  public void abandon() {
    exchange = null;
    reusable = false;
    channel.close();
  }

  /** Gives a connection back that carried nothing. */
  public void unused() {
    pool.release(this);
  }

  void close() {
    reusable = false;
    channel.close();
  }

  boolean reusable() {
    return reusable && channel.isActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (exchange == null) {
        close();
        return;
      }
      if (message instanceof DecoderResultProvider decoded && decoded.decoderResult().isFailure()) {
        fail("not an answer: " + decoded.decoderResult().cause().getMessage());
        return;
      }
      if (message instanceof HttpResponse head) {
        onHead(head);
      }
      if (message instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL || isForeign(head)) {
      skipping = true;
      return;
    }
    headSeen = true;
    if (!HttpUtil.isKeepAlive(head) || !isFramed(head)) {
      reusable = false;
    }
    keepAliveMillis = KeepAlive.timeoutMillis(head.headers().get("Keep-Alive"));
    exchange.head(head);
  }

  private boolean isForeign(HttpResponse head) {
    if (expectedId == null) {
      return false;
    }
    String id = head.headers().get(idHeader);
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean foreign = id == null ? success : !id.equals(expectedId);
    if (foreign) {
      reusable = false;
    }
    return foreign;
  }

  private static boolean isFramed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head)
        || HttpUtil.isTransferEncodingChunked(head)
        || head.status().code() == 204
        || head.status().code() == 304;
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!headSeen) {
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      exchange.content(bytes);
    }
    if (last && exchange != null) {
      finish();
    }
  }

  private void finish() {
    if (reset) {
      fail("connection reset");
      return;
    }
    channel.config().setAutoRead(true);
    if (!written.isDone()) {
      reusable = false;
    }
    Exchange ended = exchange;
    exchange = null;
    ended.end();
    if (reusable) {
      pool.release(this);
    } else {
      channel.close();
    }
  }

  private void fail(String reason) {
    reusable = false;
    channel.close();
    Exchange failed = exchange;
    exchange = null;
    if (failed != null) {
      failed.broken(reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    fail("connection failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.closed(this);
    fail(headSeen ? "connection closed within the answer" : "connection closed without an answer");
  }
}
