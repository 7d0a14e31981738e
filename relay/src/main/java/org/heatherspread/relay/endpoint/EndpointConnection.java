package org.heatherspread.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.HostPort;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A persistent connection that carries one request at a time. Confined to its event loop.
 *
 * <p>An endpoint may repeat an earlier response at any time, or write parts of responses. Hence
 * these invariants:
 *
 * <ul>
 *   <li>No two requests with one id are sent on a connection, and one without an id has a
 *       connection to itself. So a response with the id of the request in progress is the response
 *       to it.
 *   <li>Data received while no request is in progress closes the connection.
 *   <li>A response that does not certainly belong to the request in progress is skipped and
 *       prevents further reuse: one with another request's id, a success without an id, and any
 *       response without an id on a connection that carried a request before. Of these, a failure
 *       that may be that of the request in progress fails it. Only so many responses and bytes are
 *       skipped before the request fails.
 *   <li>A head that is joined from two responses fails the request. So does a body that seems to
 *       end within the head of another response, if more bytes follow.
 *   <li>A response delimited by the end of the connection is complete only if the request had been
 *       written and the connection was not reset.
 *   <li>A connection that ends before its response is complete is reset, even if the process ends,
 *       so that bytes of the request that a network partition holds up do not arrive after it was
 *       given up.
 * </ul>
 */
public final class EndpointConnection extends ChannelInboundHandlerAdapter {
  private static final Logger log = LoggerFactory.getLogger(EndpointConnection.class);

  /** Linger time with which a close discards the bytes that were not delivered yet. */
  private static final int RESET_ON_CLOSE = 0;

  /** Linger time with which a close delivers all bytes in the background. */
  private static final int DELIVER_ON_CLOSE = -1;

  /** Time before the peer's idle timeout from which the connection is no longer reused. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 700;

  /** Time for the rest of a head within which a body seems to end: it was written at once. */
  private static final long FURTHER_BYTES_MILLIS = 100;

  /** Statuses that tell that a request was not executed. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  /** Maximum number of responses skipped during a request. */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** Maximum number of body bytes skipped during a request, that of a large response. */
  private static final long MAX_SKIPPED_BYTES = 8 << 20;

  private final ConnectionPool pool;
  private final HostPort address;
  private final String idHeader;
  private Channel channel;
  private ResponseListener listener;
  private final SentRequestIds sentIds = new SentRequestIds();
  private String expectedId;
  private int requestCount;
  private ChannelFuture writeFuture;
  private boolean unused = true;
  private boolean reused;
  private boolean headReceived;

  /** Whether the response ends with the connection. */
  private boolean delimitedByClose;

  private boolean skippingResponse;
  private int skippedResponses;
  private long skippedBytes;
  private boolean reusable = true;
  private boolean connectionReset;

  /** Whether this daemon closes the connection. */
  private boolean closing;

  /** Whether the peer or the network ended the connection. */
  private boolean lost;

  /** Completes the response unless further bytes come first, null if none is waiting. */
  private ScheduledFuture<?> delayedCompletion;

  private long keepAliveMillis = Long.MAX_VALUE;
  private long openedMillis = Long.MAX_VALUE;
  private long idleSinceMillis;

  EndpointConnection(ConnectionPool pool, HostPort address, String idHeader) {
    this.pool = pool;
    this.address = address;
    this.idHeader = idHeader;
  }

  /** Returns the address that the connection was opened to. */
  public HostPort address() {
    return address;
  }

  /** Returns an id for log lines. */
  public String id() {
    return channel.id().asShortText();
  }

  /** Returns the number of requests sent so far. */
  public int requestCount() {
    return requestCount;
  }

  void setChannel(Channel opened) {
    channel = opened;
  }

  /**
   * Returns whether no response to an earlier request can be taken for that to a request with the
   * given id, null for none. Always true if the peer's responses have no ids.
   */
  boolean canCarry(String requestId) {
    if (unused || idHeader == null) {
      return true;
    }
    return requestId != null && !sentIds.mayContain(requestId);
  }

  void logAvoided(String requestId) {
    log.atInfo()
        .addKeyValue("id", requestId)
        .addKeyValue("endpoint", address.toString())
        .addKeyValue("connection", id())
        .addKeyValue("last_id", expectedId)
        .addKeyValue("idle_ms", idleMillis())
        .log("connection not used, as it has carried the request before");
  }

  /** Returns whether the connection can carry a request now. */
  boolean isUsable(long nowMillis, long maxIdleMillis) {
    long idle = nowMillis - idleSinceMillis;
    long limit = Math.min(maxIdleMillis, keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS);
    return reusable && channel.isActive() && idle <= limit;
  }

  void markOpened(long nowMillis) {
    openedMillis = nowMillis;
    idleSinceMillis = nowMillis;
  }

  /** Returns whether the connection was opened before a time. */
  boolean isOpenedBefore(long millis) {
    return openedMillis < millis;
  }

  /** Returns whether the connection was opened before a time and is open still. */
  boolean isOpenSince(long millis) {
    return isOpenedBefore(millis) && channel.isActive();
  }

  /** Returns whether the connection has been idle until about the timeout that the peer stated. */
  private boolean hasIdleTimeoutPassed() {
    long reuseMillis = keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS;
    return listener == null && idleMillis() >= reuseMillis;
  }

  private long idleMillis() {
    return pool.nowMillis() - idleSinceMillis;
  }

  /**
   * Sends a request. It fails without being sent if the connection has carried its id before, which
   * {@link ConnectionPool#acquire} prevents.
   *
   * @param requestId id that the response must repeat, null if responses have none
   */
  public void send(FullHttpRequest request, String requestId, ResponseListener responseListener) {
    if (!canCarry(requestId)) {
      log.atError()
          .addKeyValue("id", requestId)
          .addKeyValue("endpoint", address.toString())
          .addKeyValue("connection", id())
          .log("request not sent, as its connection has carried it before");
      request.release();
      listener = responseListener;
      headReceived = false;
      close();
      return;
    }
    reused = !unused;
    unused = false;
    requestCount++;
    if (requestId != null) {
      sentIds.add(requestId);
    }
    boolean idMissing = requestId == null && idHeader != null;
    reusable &= HttpUtil.isKeepAlive(request) && !idMissing && !sentIds.isFull();
    listener = responseListener;
    expectedId = requestId;
    headReceived = false;
    skippingResponse = false;
    skippedResponses = 0;
    skippedBytes = 0;
    setLinger(RESET_ON_CLOSE);
    writeFuture = channel.writeAndFlush(request);
  }

  private void setLinger(int linger) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, linger);
    }
  }

  /** Returns whether the connection has not carried a request yet. */
  public boolean isUnused() {
    return unused;
  }

  /** Pauses or resumes reading, for flow control. */
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  /**
   * Closes the connection without notifying the listener. If a request is in progress, its bytes
   * that have not been delivered yet never are.
   */
  public void abort() {
    cancelDelayedCompletion();
    listener = null;
    reusable = false;
    closeChannel();
  }

  /**
   * Returns a connection to the pool that carried no request since it was acquired. It is idle
   * since its last response, as for the endpoint.
   */
  public void releaseUnused() {
    pool.release(this);
  }

  void close() {
    reusable = false;
    closeChannel();
  }

  private void closeChannel() {
    closing = true;
    channel.close();
  }

  boolean isReusable() {
    return reusable && channel.isActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (listener == null) {
        closeAsUnexpected(message);
        return;
      }
      if (delayedCompletion != null) {
        fail("bytes after a body that ends within the head of another response");
        return;
      }
      if (message instanceof DecoderResultProvider decoded && decoded.decoderResult().isFailure()) {
        fail("invalid response: " + decoded.decoderResult().cause().getMessage());
        return;
      }
      if (message instanceof HttpResponse head) {
        handleHead(head);
      }
      if (message instanceof HttpContent content && listener != null) {
        handleContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Closes the connection, which received data without a request in progress. */
  private void closeAsUnexpected(Object message) {
    if (reusable) {
      pool.recordUnexpectedResponse();
      HttpResponse head = message instanceof HttpResponse response ? response : null;
      log.atInfo()
          .addKeyValue("endpoint", address.toString())
          .addKeyValue("connection", id())
          .addKeyValue("received_id", head == null ? null : receivedId(head))
          .addKeyValue("status", head == null ? 0 : head.status().code())
          .addKeyValue("last_id", expectedId)
          .addKeyValue("idle_ms", idleMillis())
          .log("response without a request");
    }
    close();
  }

  private String receivedId(HttpResponse head) {
    return idHeader == null ? null : head.headers().get(idHeader);
  }

  private void handleHead(HttpResponse head) {
    if (JoinedHeads.isJoined(head)) {
      fail("invalid response: another response begins within its head");
      return;
    }
    if (mayBeFailureOfRequest(head)) {
      fail("failure without an id on a reused connection");
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL || belongsToOtherRequest(head)) {
      skippingResponse = true;
      skippedResponses++;
      failIfSkippedTooMuch();
      return;
    }
    headReceived = true;
    delimitedByClose = !isSelfDelimiting(head);
    if (!HttpUtil.isKeepAlive(head) || delimitedByClose) {
      reusable = false;
    }
    keepAliveMillis = KeepAliveHeader.timeoutMillis(head.headers().get("Keep-Alive"));
    listener.onHead(head);
  }

  private void failIfSkippedTooMuch() {
    if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
      fail("too many responses of other requests");
    }
  }

  /**
   * Returns whether a response may be the failure of the request in progress, or an earlier one
   * once more. A later success is no answer to a request that has failed, so neither is believed. A
   * refusal is not concerned: a request that was refused has no later response.
   */
  private boolean mayBeFailureOfRequest(HttpResponse head) {
    return expectedId != null
        && reused
        && receivedId(head) == null
        && head.status().code() >= 300
        && !REFUSALS.contains(head.status().code());
  }

  private boolean belongsToOtherRequest(HttpResponse head) {
    if (expectedId == null) {
      return false;
    }
    String id = receivedId(head);
    boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean mismatch = id == null ? success || reused : !id.equals(expectedId);
    if (mismatch) {
      reusable = false;
      pool.recordUnexpectedResponse();
      log.atInfo()
          .addKeyValue("id", expectedId)
          .addKeyValue("received_id", id)
          .addKeyValue("status", head.status().code())
          .addKeyValue("endpoint", address.toString())
          .addKeyValue("connection", id())
          .log("response of another request skipped");
    }
    return mismatch;
  }

  /** Returns whether a response does not end with its connection. */
  public static boolean isSelfDelimiting(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head)
        || HttpUtil.isTransferEncodingChunked(head)
        || head.status().code() == 204
        || head.status().code() == 304;
  }

  private void handleContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      skippedBytes += content.content().readableBytes();
      failIfSkippedTooMuch();
      return;
    }
    if (!headReceived) {
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      listener.onContent(bytes);
    }
    if (last && listener != null) {
      finishOnceWhole();
    }
  }

  private void finishOnceWhole() {
    if (!listener.mayEndWithinAnotherResponse()) {
      finish();
      return;
    }
    delayedCompletion =
        channel
            .eventLoop()
            .schedule(this::finishDelayed, FURTHER_BYTES_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void finishDelayed() {
    delayedCompletion = null;
    if (listener != null) {
      finish();
    }
  }

  private void finish() {
    if (connectionReset) {
      fail("connection reset");
      return;
    }
    // A reset during a write fails the write only, and the response seems to end properly.
    if (delimitedByClose && !writeFuture.isSuccess()) {
      fail("connection closed before the request was written");
      return;
    }
    channel.config().setAutoRead(true);
    if (writeFuture.isDone()) {
      setLinger(DELIVER_ON_CLOSE);
    } else {
      reusable = false;
    }
    ResponseListener completed = listener;
    listener = null;
    completed.onComplete();
    if (reusable) {
      idleSinceMillis = pool.nowMillis();
      pool.release(this);
    } else {
      closeChannel();
    }
  }

  private void fail(String reason) {
    cancelDelayedCompletion();
    reusable = false;
    closeChannel();
    ResponseListener failed = listener;
    listener = null;
    if (failed != null) {
      failed.onFailure(reason);
    }
  }

  private void cancelDelayedCompletion() {
    if (delayedCompletion != null) {
      delayedCompletion.cancel(false);
      delayedCompletion = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionReset = true;
    lost |= !closing && cause instanceof IOException;
    fail("connection failed: " + cause.getMessage());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    boolean closedByPeer = !closing && delayedCompletion == null && !hasIdleTimeoutPassed();
    pool.connectionClosed(this, lost || closedByPeer);
    if (delayedCompletion != null) {
      // Nothing followed.
      cancelDelayedCompletion();
      finish();
      return;
    }
    fail(
        headReceived
            ? "connection closed within the response"
            : "connection closed without a response");
  }
}
