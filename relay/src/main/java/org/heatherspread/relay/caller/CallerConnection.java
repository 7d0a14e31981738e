package org.heatherspread.relay.caller;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.relay.caller.ConnectionProgress.State;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of a caller: reads a complete request, passes it to the handler and writes the
 * response before it processes the next request.
 *
 * <p>Invariants: one request is in progress at a time; messages are processed in the order in which
 * they were read, those that were read during a response before any later ones; a request with
 * ambiguous framing is rejected and closes the connection, which prevents request smuggling; a
 * connection that was idle or has written its last response is shut down for output, and what the
 * caller still sends is read and discarded until the caller closes it or the idle timeout ends, so
 * that a reset cannot discard a response; the bytes of a body are reserved before they are read,
 * and released when the response is complete. Confined to its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

  private final CallerServer server;
  private final ConnectionProgress progress = new ConnectionProgress();
  private final ConnectionTimer timer = new ConnectionTimer();
  private final ReadAhead readAhead;
  private final RequestBody body;
  private final HeadUse headUse;
  private RequestGate gate;
  private ChannelHandlerContext context;
  private HttpRequest requestHead;
  private boolean discardingBody;
  private long pendingWriteBytes;
  private ConnectionResponseWriter responseWriter;
  private boolean keepAlive;

  CallerConnection(CallerServer server) {
    this.server = server;
    this.readAhead = new ReadAhead(server.buffers());
    this.body = new RequestBody(server.buffers());
    this.headUse = new HeadUse(this, server.pressure().heads());
  }

  /** Sets the handler that holds what is received ahead; without it all messages are decoded. */
  void setGate(RequestGate requestGate) {
    gate = requestGate;
  }

  @Override
  public void channelActive(ChannelHandlerContext activeContext) {
    context = activeContext;
    progress.start(server.nowMillis());
    if (!server.connectionOpened(this)) {
      close();
      return;
    }
    scheduleTimeoutCheck();
  }

  /** Returns whether no request can follow, so that received bytes are of no use. */
  boolean discardsInput() {
    return progress.hasEnded() || progress.isAnswering() && !keepAlive;
  }

  /** Returns whether a body without a declared length is being read. */
  boolean isReadingChunks() {
    return progress.is(State.READING) && body.isChunked();
  }

  /** Returns the number of bytes that are left of a body with a declared length. */
  int remainingBodyBytes() {
    return progress.is(State.READING) ? body.remainingBytes() : 0;
  }

  HeadUse headUse() {
    return headUse;
  }

  ReadAhead readAhead() {
    return readAhead;
  }

  /** Returns how far the connection is. */
  ConnectionProgress progress() {
    return progress;
  }

  int reservedBodyBytes() {
    return body.reservedBytes();
  }

  /** Gives up a request that is not complete, to make room for others. */
  void refuseIncomplete(String cause) {
    server.pressure().recordEviction(cause);
    if (progress.is(State.READING)) {
      refuseBody(true);
    } else {
      reject(503, "no memory for the request");
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    headUse.onDecoded(message);
    if (progress.hasEnded() || discardingBody) {
      discard(message);
      return;
    }
    if (progress.isAnswering() || !readAhead.isEmpty()) {
      keep(message);
      return;
    }
    process(message);
  }

  /** Keeps a message until the response in progress is written. */
  private void keep(Object message) {
    readAhead.add(message);
    if (!headUse.reserveAhead(readAhead.headBytes())) {
      server.pressure().recordEviction("heads");
      dropAhead();
    }
    if (readAhead.isFull()) {
      context.channel().config().setAutoRead(false);
    }
  }

  /** Gives up the requests after the one in progress, with whose response the connection ends. */
  private void dropAhead() {
    readAhead.release();
    keepAlive = false;
    if (!progress.isAnswering()) {
      close();
    }
  }

  private void discard(Object message) {
    if (message instanceof LastHttpContent) {
      discardingBody = false;
    }
    ReferenceCountUtil.release(message);
  }

  private void process(Object message) {
    try {
      if (message instanceof DecoderResultProvider decoded && decoded.decoderResult().isFailure()) {
        rejectMalformed(decoded.decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest request) {
        onHead(request);
      }
      if (message instanceof HttpContent content && progress.is(State.READING)) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void rejectMalformed(Throwable cause) {
    boolean tooLong = cause instanceof TooLongFrameException;
    reject(tooLong ? 431 : 400, String.valueOf(cause.getMessage()));
  }

  private void onHead(HttpRequest request) {
    progress.onHead(server.nowMillis());
    String error = RequestFraming.findError(request);
    if (error != null) {
      reject(400, error);
      return;
    }
    ClientLimits limits = server.limits();
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      reject(413, "body larger than " + limits.maxBodyBytes() + " bytes");
      return;
    }
    requestHead = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    int length = (int) HttpUtil.getContentLength(request, 0L);
    body.begin(length, !HttpUtil.isContentLengthSet(request), server.handler().usesBody());
    if (!headUse.reserveHead(request)) {
      server.pressure().recordEviction("heads");
      refuseBody(!HttpUtil.is100ContinueExpected(request));
      return;
    }
    if (!body.reserveDeclared() && !reserveAfterStalled(body::reserveDeclared)) {
      refuseBody(!HttpUtil.is100ContinueExpected(request));
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    progress.set(State.READING);
    scheduleTimeoutCheck();
  }

  /** Refuses a request; the rest of its body, if it is still coming, is read and discarded. */
  private void refuseBody(boolean bodyExpected) {
    timer.cancel();
    releaseRequest();
    keepAlive = false;
    discardingBody = bodyExpected;
    progress.set(State.RESPONDING);
    responseWriter = new ConnectionResponseWriter(this, context, server.buffers());
    server.handler().refuseBody(createRequest(), responseWriter);
  }

  /** Refuses stalled bodies until a reservation succeeds; returns false if it does not. */
  private boolean reserveAfterStalled(BooleanSupplier reservation) {
    while (server.pressure().refuseStalledBody(this)) {
      if (reservation.getAsBoolean()) {
        return true;
      }
    }
    return false;
  }

  private void releaseRequest() {
    body.release();
    headUse.release(readAhead.headBytes());
  }

  private void onContent(HttpContent content) {
    int maxBytes = server.limits().maxBodyBytes();
    int size = body.receivedBytes() + content.content().readableBytes();
    if (size > maxBytes) {
      reject(413, "body larger than " + maxBytes + " bytes");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    BooleanSupplier reservation = () -> body.reserveFor(size, last, maxBytes);
    if (!reservation.getAsBoolean() && !reserveAfterStalled(reservation)) {
      refuseBody(!last);
      return;
    }
    body.append(content.content(), context.alloc());
    if (last) {
      body.shrinkReservation();
      progress.set(State.RESPONDING);
      timer.cancel();
      context.executor().execute(this::dispatchRequest);
    }
  }

  /**
   * Passes the request to the handler, unless the same read found that the caller has closed the
   * connection, as for requests that have waited for this process.
   */
  private void dispatchRequest() {
    if (!context.channel().isOpen()) {
      log.atInfo()
          .addKeyValue("target", requestHead.uri())
          .addKeyValue("peer", String.valueOf(context.channel().remoteAddress()))
          .log("request dropped as its caller has left");
      return;
    }
    responseWriter = new ConnectionResponseWriter(this, context, server.buffers());
    server.handler().handle(createRequest(), responseWriter);
  }

  private CallerRequest createRequest() {
    return new CallerRequest(
        requestHead.method(),
        requestHead.uri(),
        requestHead.headers(),
        body.content(),
        context.channel().id().asShortText(),
        progress.headReceivedMillis());
  }

  private void scheduleTimeoutCheck() {
    long now = server.nowMillis();
    long delayMillis = progress.deadlineMillis(now, server.limits()) - now;
    timer.schedule(context, this::checkTimeouts, delayMillis);
  }

  private void checkTimeouts() {
    if (progress.is(State.WRITING)) {
      checkWriteProgress();
      return;
    }
    if (!progress.isReceiving()) {
      return;
    }
    long now = server.nowMillis();
    if (progress.isIdleTooLong(now, server.limits())) {
      shutDownOutput();
      return;
    }
    if (progress.isIncompleteTooLong(now, server.limits())) {
      reject(408, "request not complete in time");
      return;
    }
    scheduleTimeoutCheck();
  }

  /** Closes the connection if the caller has read nothing since the last check. */
  private void checkWriteProgress() {
    long pending = context.channel().unsafe().outboundBuffer().totalPendingWriteBytes();
    if (pending >= pendingWriteBytes) {
      close();
      return;
    }
    pendingWriteBytes = pending;
    scheduleTimeoutCheck();
  }

  private void reject(int status, String reason) {
    server.pressure().logRejection(status, reason, context.channel().remoteAddress());
    timer.cancel();
    releaseRequest();
    keepAlive = false;
    progress.set(State.RESPONDING);
    responseWriter = new ConnectionResponseWriter(this, context, server.buffers());
    responseWriter.send(status, server.problemHeaders(), server.problemBody(status, reason));
  }

  /** Shuts the connection down now if it is idle, otherwise after the response in progress. */
  void drain() {
    keepAlive = false;
    if (progress.isUnused()) {
      shutDownOutput();
    }
  }

  SocketChannel channel() {
    return (SocketChannel) context.channel();
  }

  void close() {
    timer.cancel();
    progress.set(State.CLOSED);
    if (context != null) {
      context.close();
    }
  }

  /** Returns whether a writer is that of the response in progress. */
  boolean isResponding(ConnectionResponseWriter writer) {
    return responseWriter == writer;
  }

  /** Returns the target of the request in progress. */
  String target() {
    return requestHead == null ? "" : requestHead.uri();
  }

  /** Returns whether the connection closes after the response in progress, and notes it. */
  boolean closesAfterResponse(boolean requested) {
    keepAlive = keepAlive && !requested && !server.isDraining();
    return !keepAlive;
  }

  /** Closes the connection within a response. */
  void abortResponse() {
    responseWriter = null;
    close();
  }

  /** Ends a response whose last bytes are written by a future. */
  void onResponseComplete(ChannelFuture writeFuture) {
    responseWriter = null;
    requestHead = null;
    releaseRequest();
    progress.set(State.WRITING);
    pendingWriteBytes = Long.MAX_VALUE;
    writeFuture.addListener(written -> onResponseWritten(written.isSuccess()));
    if (progress.is(State.WRITING)) {
      scheduleTimeoutCheck();
    }
  }

  private void onResponseWritten(boolean success) {
    if (!progress.is(State.WRITING)) {
      return;
    }
    timer.cancel();
    if (!success) {
      close();
      return;
    }
    progress.onResponseWritten();
    if (!keepAlive || server.isDraining()) {
      shutDownOutput();
      return;
    }
    progress.onIdle(server.nowMillis());
    if (!readAhead.isEmpty() || gate != null && gate.heldBytes() > 0) {
      context.executor().execute(this::processReadAhead);
      return;
    }
    scheduleTimeoutCheck();
  }

  /**
   * Ends the output after what has been written. Goes on reading, as unread data would turn the
   * close into a reset.
   */
  private void shutDownOutput() {
    timer.cancel();
    progress.set(State.CLOSING);
    channel().shutdownOutput();
    readAhead.release();
    if (gate != null) {
      gate.releaseHeld();
    }
    // What still comes is not decoded, as the codec keeps state for each request.
    context.pipeline().remove(HttpServerCodec.class);
    context.channel().config().setAutoRead(true);
    timer.schedule(context, this::close, server.limits().idleTimeoutMillis());
  }

  private void processReadAhead() {
    while (!readAhead.isEmpty() && progress.isReceiving()) {
      process(readAhead.poll());
    }
    if (gate != null) {
      gate.feed();
    } else if (!readAhead.isFull() && !progress.is(State.CLOSED)) {
      context.channel().config().setAutoRead(true);
    }
    if (progress.is(State.IDLE)) {
      scheduleTimeoutCheck();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    timer.cancel();
    progress.set(State.CLOSED);
    server.connectionClosed(this);
    readAhead.release();
    ConnectionResponseWriter pendingResponse = responseWriter;
    responseWriter = null;
    if (pendingResponse != null) {
      pendingResponse.onCallerDisconnected();
    }
    releaseRequest();
  }

  /**
   * Handles the end of the caller's output. The caller has left, but one that is sent a complete
   * response may have closed its side only.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext unused, Object event) {
    if (event != ChannelInputShutdownEvent.INSTANCE) {
      return;
    }
    if (progress.is(State.WRITING)) {
      keepAlive = false;
    } else {
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext unused) {
    if (context.channel().isWritable() && responseWriter != null) {
      responseWriter.onChannelWritable();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
    if (!(cause instanceof IOException)) {
      log.atError().setCause(cause).log("connection of a caller failed");
    } else if (progress.is(State.WRITING) || progress.is(State.CLOSING)) {
      log.atInfo()
          .addKeyValue("connection", context.channel().id().asShortText())
          .addKeyValue("reason", cause.getMessage())
          .log("connection failed before the caller had closed it after its response");
    }
    context.close();
  }
}
