package org.heatherspread.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResultProvider;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.relay.buffer.BufferBudget;
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

  /** Maximum number of messages buffered while a response is in progress. */
  private static final int MAX_READ_AHEAD = 64;

  /** Size of the first buffer of a body without a declared length. */
  private static final int MIN_CHUNKED_BODY_BYTES = 4_096;

  private enum State {
    IDLE,
    READING,
    RESPONDING,
    /** The response is complete, but not yet written to the connection. */
    WRITING,
    /** The output is shut down; the caller may still be reading. */
    CLOSING,
    CLOSED
  }

  private final CallerServer server;
  private final ArrayDeque<Object> readAhead = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private State state = State.IDLE;
  private HttpRequest requestHead;
  private ByteBuf requestBody = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;
  private boolean discardingBody;
  private long headReceivedMillis;
  private long firstByteMillis = -1;
  private long idleSinceMillis;
  private long pendingWriteBytes;
  private ScheduledFuture<?> timeoutCheck;
  private ConnectionResponseWriter responseWriter;
  private boolean keepAlive;

  /** Whether a response has been written in full. */
  private boolean responded;

  CallerConnection(CallerServer server) {
    this.server = server;
  }

  @Override
  public void channelActive(ChannelHandlerContext activeContext) {
    context = activeContext;
    idleSinceMillis = server.nowMillis();
    server.connectionOpened(this);
    scheduleTimeoutCheck();
  }

  /** Records the time of bytes that may start a request head. */
  void onBytesReceived() {
    if (state == State.IDLE && firstByteMillis < 0) {
      firstByteMillis = server.nowMillis();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    if (state == State.CLOSING || state == State.CLOSED || discardingBody) {
      discard(message);
      return;
    }
    if (state == State.RESPONDING || state == State.WRITING || !readAhead.isEmpty()) {
      keep(message);
      return;
    }
    process(message);
  }

  /** Keeps a message until the response in progress is written. */
  private void keep(Object message) {
    readAhead.add(message);
    int size = contentSize(message);
    server.buffers().hold(size);
    if (readAhead.size() > MAX_READ_AHEAD || server.buffers().isFull()) {
      context.channel().config().setAutoRead(false);
    }
  }

  private Object pollReadAhead() {
    Object message = readAhead.poll();
    int size = contentSize(message);
    server.buffers().release(size);
    return message;
  }

  private static int contentSize(Object message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
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
      if (message instanceof HttpContent content && state == State.READING) {
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
    headReceivedMillis = server.nowMillis();
    firstByteMillis = -1;
    String error = framingError(request);
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
    if (!reserveBody(length)) {
      refuseBody(!HttpUtil.is100ContinueExpected(request));
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    state = State.READING;
    scheduleTimeoutCheck();
  }

  /** Reserves bytes for the body that is being read; returns false if there are none. */
  private boolean reserveBody(int nextBytes) {
    if (nextBytes <= reservedBytes) {
      return true;
    }
    if (!server.buffers().reserveRequest(reservedBytes, nextBytes)) {
      return false;
    }
    reservedBytes = nextBytes;
    return true;
  }

  /** Refuses a request; the rest of its body, if it is still coming, is read and discarded. */
  private void refuseBody(boolean bodyExpected) {
    cancelTimeoutCheck();
    releaseBody();
    keepAlive = false;
    discardingBody = bodyExpected;
    state = State.RESPONDING;
    responseWriter = new ConnectionResponseWriter();
    server.handler().refuseBody(createRequest(), responseWriter);
  }

  private void releaseBody() {
    requestBody.release();
    requestBody = Unpooled.EMPTY_BUFFER;
    server.buffers().releaseRequest(reservedBytes);
    reservedBytes = 0;
  }

  private static String framingError(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return request.protocolVersion().equals(HttpVersion.HTTP_1_0) ? null : "unknown version";
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      return "not exactly one Host header";
    }
    if (!request.uri().startsWith("/")) {
      return "target is not a path";
    }
    boolean hasTransferEncoding = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (hasTransferEncoding && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      return "both a length and a transfer encoding";
    }
    if (hasTransferEncoding && !isChunkedOnly(headers)) {
      return "unknown transfer encoding";
    }
    return null;
  }

  private static boolean isChunkedOnly(HttpHeaders headers) {
    var values = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return values.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(values.get(0).trim());
  }

  private void onContent(HttpContent content) {
    int maxBytes = server.limits().maxBodyBytes();
    int size = requestBody.readableBytes() + content.content().readableBytes();
    if (size > maxBytes) {
      reject(413, "body larger than " + maxBytes + " bytes");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (size > reservedBytes && !reserveBody(chunkedReservation(size, last, maxBytes))) {
      refuseBody(!last);
      return;
    }
    if (content.content().isReadable()) {
      ensureBodyCapacity(size);
      requestBody.writeBytes(content.content());
    }
    if (last) {
      shrinkReservation();
      state = State.RESPONDING;
      cancelTimeoutCheck();
      context.executor().execute(this::dispatchRequest);
    }
  }

  /**
   * Returns the bytes to reserve for a body without a declared length: the limit once it is large,
   * so that large bodies do not wait for each other's bytes when they are half read.
   */
  private static int chunkedReservation(int size, boolean last, int maxBytes) {
    if (last) {
      return size;
    }
    return size > BufferBudget.SMALL_BODY_BYTES ? maxBytes : BufferBudget.SMALL_BODY_BYTES;
  }

  /** Releases what was reserved for a body without a declared length beyond its buffer. */
  private void shrinkReservation() {
    int neededBytes = requestBody.capacity();
    if (neededBytes < reservedBytes) {
      server.buffers().releaseRequest(reservedBytes);
      server.buffers().reserveRequest(0, neededBytes);
      reservedBytes = neededBytes;
    }
  }

  /** Enlarges the buffer of the body, that of a large one apart from the chunks of small ones. */
  private void ensureBodyCapacity(int size) {
    if (requestBody.capacity() >= size) {
      return;
    }
    boolean chunked = !HttpUtil.isContentLengthSet(requestHead);
    int doubledBytes = Math.max(MIN_CHUNKED_BODY_BYTES, 2 * requestBody.capacity());
    int capacity = chunked ? Math.max(size, Math.min(reservedBytes, doubledBytes)) : reservedBytes;
    ByteBuf larger =
        capacity > BufferBudget.SMALL_BODY_BYTES
            ? UnpooledByteBufAllocator.DEFAULT.directBuffer(capacity, capacity)
            : context.alloc().directBuffer(capacity, capacity);
    larger.writeBytes(requestBody);
    requestBody.release();
    requestBody = larger;
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
    responseWriter = new ConnectionResponseWriter();
    server.handler().handle(createRequest(), responseWriter);
  }

  private CallerRequest createRequest() {
    return new CallerRequest(
        requestHead.method(),
        requestHead.uri(),
        requestHead.headers(),
        requestBody,
        context.channel().id().asShortText(),
        headReceivedMillis);
  }

  private void scheduleTimeoutCheck() {
    cancelTimeoutCheck();
    long remainingMillis = deadlineMillis() - server.nowMillis();
    timeoutCheck =
        context
            .executor()
            .schedule(this::checkTimeouts, Math.max(1, remainingMillis), TimeUnit.MILLISECONDS);
  }

  private void cancelTimeoutCheck() {
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
      timeoutCheck = null;
    }
  }

  private long deadlineMillis() {
    ClientLimits limits = server.limits();
    if (state == State.READING) {
      return headReceivedMillis + limits.idleTimeoutMillis();
    }
    if (state == State.WRITING) {
      return server.nowMillis() + limits.idleTimeoutMillis();
    }
    if (firstByteMillis >= 0) {
      return firstByteMillis + limits.headerTimeoutMillis();
    }
    // Checks at least this often, as the first byte of a head does not reschedule the check.
    long nextCheckMillis = server.nowMillis() + limits.headerTimeoutMillis();
    return Math.min(nextCheckMillis, idleSinceMillis + limits.idleTimeoutMillis());
  }

  private void checkTimeouts() {
    timeoutCheck = null;
    if (state == State.WRITING) {
      checkWriteProgress();
      return;
    }
    if (state != State.IDLE && state != State.READING) {
      return;
    }
    long now = server.nowMillis();
    boolean idleTimedOut =
        state == State.IDLE
            && firstByteMillis < 0
            && now - idleSinceMillis >= server.limits().idleTimeoutMillis();
    if (idleTimedOut) {
      shutDownOutput();
      return;
    }
    boolean timedOut = (state == State.READING || firstByteMillis >= 0) && now >= deadlineMillis();
    if (timedOut) {
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
    log.atInfo()
        .addKeyValue("status", status)
        .addKeyValue("reason", reason)
        .addKeyValue("peer", String.valueOf(context.channel().remoteAddress()))
        .log("request refused before it was read");
    cancelTimeoutCheck();
    releaseBody();
    keepAlive = false;
    state = State.RESPONDING;
    responseWriter = new ConnectionResponseWriter();
    responseWriter.send(status, server.problemHeaders(), server.problemBody(status, reason));
  }

  /** Shuts the connection down now if it is idle, otherwise after the response in progress. */
  void drain() {
    keepAlive = false;
    if (state == State.IDLE && firstByteMillis < 0) {
      shutDownOutput();
    }
  }

  /** Returns whether a request is being read, or its response has not been written in full. */
  boolean isRequestInProgress() {
    return state == State.READING || state == State.RESPONDING || state == State.WRITING;
  }

  /** Returns whether the output ended with a response that the caller may still be reading. */
  boolean endedWithResponse() {
    return state == State.CLOSING && responded;
  }

  SocketChannel channel() {
    return (SocketChannel) context.channel();
  }

  void close() {
    cancelTimeoutCheck();
    state = State.CLOSED;
    if (context != null) {
      context.close();
    }
  }

  private void onResponseComplete(ChannelFuture writeFuture) {
    responseWriter = null;
    releaseBody();
    state = State.WRITING;
    pendingWriteBytes = Long.MAX_VALUE;
    writeFuture.addListener(written -> onResponseWritten(written.isSuccess()));
    if (state == State.WRITING) {
      scheduleTimeoutCheck();
    }
  }

  private void onResponseWritten(boolean success) {
    if (state != State.WRITING) {
      return;
    }
    cancelTimeoutCheck();
    if (!success) {
      close();
      return;
    }
    responded = true;
    if (!keepAlive || server.isDraining()) {
      shutDownOutput();
      return;
    }
    state = State.IDLE;
    idleSinceMillis = server.nowMillis();
    if (!readAhead.isEmpty()) {
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
    cancelTimeoutCheck();
    state = State.CLOSING;
    channel().shutdownOutput();
    while (!readAhead.isEmpty()) {
      discard(pollReadAhead());
    }
    // What still comes is not decoded, as the codec keeps state for each request.
    context.pipeline().remove(HttpServerCodec.class);
    context.channel().config().setAutoRead(true);
    timeoutCheck =
        context
            .executor()
            .schedule(this::close, server.limits().idleTimeoutMillis(), TimeUnit.MILLISECONDS);
  }

  private void processReadAhead() {
    while (!readAhead.isEmpty() && (state == State.IDLE || state == State.READING)) {
      process(pollReadAhead());
    }
    if (readAhead.size() <= MAX_READ_AHEAD && state != State.CLOSED) {
      context.channel().config().setAutoRead(true);
    }
    if (state == State.IDLE) {
      scheduleTimeoutCheck();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    cancelTimeoutCheck();
    state = State.CLOSED;
    server.connectionClosed(this);
    while (!readAhead.isEmpty()) {
      ReferenceCountUtil.release(pollReadAhead());
    }
    ConnectionResponseWriter pendingResponse = responseWriter;
    responseWriter = null;
    if (pendingResponse != null) {
      pendingResponse.onCallerDisconnected();
    }
    releaseBody();
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
    if (state == State.WRITING) {
      keepAlive = false;
    } else {
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext unused) {
    if (context.channel().isWritable()
        && responseWriter != null
        && responseWriter.writableAction != null) {
      responseWriter.writableAction.run();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
    if (!(cause instanceof IOException)) {
      log.atError().setCause(cause).log("connection of a caller failed");
    } else if (state == State.WRITING || state == State.CLOSING) {
      log.atInfo()
          .addKeyValue("connection", context.channel().id().asShortText())
          .addKeyValue("reason", cause.getMessage())
          .log("connection failed before the caller had closed it after its response");
    }
    context.close();
  }

  /** Writes the response to the request in progress. */
  private final class ConnectionResponseWriter implements ResponseWriter {
    private Runnable disconnectAction;
    private boolean disconnected;
    private boolean started;
    private Runnable writableAction;

    private boolean isCurrent() {
      return responseWriter == this;
    }

    /** Returns whether the head can be written now; a second one cuts the response off. */
    private boolean beginHead(int status) {
      if (!isCurrent()) {
        return false;
      }
      if (started) {
        log.atError()
            .addKeyValue("target", requestHead.uri())
            .addKeyValue("status", status)
            .log("second head of a response not written");
        abort();
        return false;
      }
      started = true;
      return true;
    }

    private void setConnectionHeader(HttpResponse response) {
      boolean requested =
          response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
      if (!keepAlive || requested || server.isDraining()) {
        keepAlive = false;
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }

    @Override
    public void send(int status, HttpHeaders headers, byte[] body) {
      if (!beginHead(status)) {
        return;
      }
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(body));
      response.headers().set(headers);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      setConnectionHeader(response);
      onResponseComplete(holdUntilWritten(context.writeAndFlush(response), body.length));
    }

    @Override
    public void start(int status, HttpHeaders headers) {
      if (!beginHead(status)) {
        return;
      }
      HttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      response.headers().set(headers);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      setConnectionHeader(response);
      context.writeAndFlush(response);
    }

    @Override
    public void write(byte[] bytes) {
      if (isCurrent()) {
        holdUntilWritten(
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes))),
            bytes.length);
      }
    }

    /** Counts bytes that the connection could not write at once, as the caller reads slowly. */
    private ChannelFuture holdUntilWritten(ChannelFuture writeFuture, int bytes) {
      if (!writeFuture.isDone()) {
        server.buffers().hold(bytes);
        writeFuture.addListener(written -> server.buffers().release(bytes));
      }
      return writeFuture;
    }

    @Override
    public void complete() {
      if (isCurrent()) {
        onResponseComplete(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
      }
    }

    @Override
    public void abort() {
      if (isCurrent()) {
        responseWriter = null;
        close();
      }
    }

    @Override
    public boolean isWritable() {
      return context.channel().isWritable();
    }

    @Override
    public void onDisconnect(Runnable action) {
      disconnectAction = action;
      if (disconnected) {
        action.run();
      }
    }

    private void onCallerDisconnected() {
      disconnected = true;
      if (disconnectAction != null) {
        disconnectAction.run();
      }
    }

    @Override
    public void onWritable(Runnable action) {
      writableAction = action;
    }
  }
}
