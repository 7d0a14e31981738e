package org.heatherspread.relay.caller;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.serving.ClientLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of a caller: reads a request to its end, gives it to the handler, and writes the
 * answer before the next request is looked at.
 *
 * <p>Invariants: one request is in progress at a time; a request whose framing is ambiguous is
 * refused and ends the connection, so that no request hides in another's body; a connection that
 * ends after its answer is closed for writing first, so that the answer is not lost to a reset.
 * Confined to its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

  /** Most messages read ahead of the answer in progress. */
  private static final int MAX_READ_AHEAD = 64;

  /** How long a connection closed for writing waits for the caller to close its side. */
  private static final long LINGER_MILLIS = 500;

  private enum State {
    IDLE,
    READING,
    ANSWERING,
    CLOSING
  }

  private final CallerServer server;
  private final ArrayDeque<Object> readAhead = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private State state = State.IDLE;
  private HttpRequest head;
  private ByteArrayOutputStream body;
  private long arrivedMillis;
  private long firstByteMillis = -1;
  private long idleSinceMillis;
  private ScheduledFuture<?> timer;
  private Answer answer;
  private boolean keepAlive;

  CallerConnection(CallerServer server) {
    this.server = server;
  }

  // ---------------------------------------------------------------------------------------------
  // Reading
  // ---------------------------------------------------------------------------------------------

  @Override
  public void channelActive(ChannelHandlerContext active) {
    context = active;
    idleSinceMillis = server.nowMillis();
    server.opened(this);
    armTimer();
  }

  /** Notes that bytes arrived which may be the start of a request. */
  void bytesArrived() {
    if (state == State.IDLE && firstByteMillis < 0) {
      firstByteMillis = server.nowMillis();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    if (state == State.CLOSING) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (state == State.ANSWERING) {
      readAhead.add(message);
      if (readAhead.size() > MAX_READ_AHEAD) {
        context.channel().config().setAutoRead(false);
      }
      return;
    }
    take(message);
  }

  private void take(Object message) {
    try {
      if (message instanceof DecoderResultProvider decoded && decoded.decoderResult().isFailure()) {
        malformed(decoded.decoderResult().cause());
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

  private void malformed(Throwable cause) {
    boolean tooLong = cause instanceof TooLongFrameException;
    refuse(tooLong ? 431 : 400, String.valueOf(cause.getMessage()));
  }

  private void onHead(HttpRequest request) {
    arrivedMillis = server.nowMillis();
    firstByteMillis = -1;
    String fault = framingFault(request);
    if (fault != null) {
      refuse(400, fault);
      return;
    }
    ClientLimits limits = server.limits();
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      refuse(413, "body larger than " + limits.maxBodyBytes() + " bytes");
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    body = new ByteArrayOutputStream();
    state = State.READING;
    armTimer();
  }

  private static String framingFault(HttpRequest request) {
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
    boolean coded = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (coded && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      return "both a length and a transfer encoding";
    }
    if (coded && !isChunkedOnly(headers)) {
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
    int size = content.content().readableBytes();
    if (body.size() + size > server.limits().maxBodyBytes()) {
      refuse(413, "body larger than " + server.limits().maxBodyBytes() + " bytes");
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(content.content()));
    if (content instanceof LastHttpContent) {
      complete();
    }
  }

  private void complete() {
    state = State.ANSWERING;
    stopTimer();
    answer = new Answer();
    CallerRequest request =
        new CallerRequest(
            head.method(), head.uri(), head.headers(), body.toByteArray(), arrivedMillis);
    body = null;
    server.handler().handle(request, answer);
  }

  // ---------------------------------------------------------------------------------------------
  // Time limits
  // ---------------------------------------------------------------------------------------------

  private void armTimer() {
    stopTimer();
    long left = deadlineMillis() - server.nowMillis();
    timer = context.executor().schedule(this::checkTime, Math.max(1, left), TimeUnit.MILLISECONDS);
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private long deadlineMillis() {
    ClientLimits limits = server.limits();
    if (state == State.READING) {
      return arrivedMillis + limits.idleTimeoutMillis();
    }
    if (firstByteMillis >= 0) {
      return firstByteMillis + limits.headerTimeoutMillis();
    }
    // Wakes up early enough to see a head that never ends.
    long wake = server.nowMillis() + limits.headerTimeoutMillis();
    return Math.min(wake, idleSinceMillis + limits.idleTimeoutMillis());
  }

  private void checkTime() {
    timer = null;
    if (state != State.IDLE && state != State.READING) {
      return;
    }
    long now = server.nowMillis();
    boolean idleTooLong =
        state == State.IDLE
            && firstByteMillis < 0
            && now - idleSinceMillis >= server.limits().idleTimeoutMillis();
    if (idleTooLong) {
      close();
      return;
    }
    boolean late = (state == State.READING || firstByteMillis >= 0) && now >= deadlineMillis();
    if (late) {
      refuse(408, "request not complete in time");
      return;
    }
    armTimer();
  }

  // ---------------------------------------------------------------------------------------------
  // Ending
  // ---------------------------------------------------------------------------------------------

  private void refuse(int status, String reason) {
    log.atInfo()
        .addKeyValue("status", status)
        .addKeyValue("reason", reason)
        .addKeyValue("peer", String.valueOf(context.channel().remoteAddress()))
        .log("request refused before it was read");
    stopTimer();
    keepAlive = false;
    state = State.ANSWERING;
    answer = new Answer();
    answer.whole(status, server.problemHeaders(), server.problem(status, reason));
  }

  /** Ends the connection as soon as no request is in progress. */
  void drain() {
    keepAlive = false;
    if (state == State.IDLE && firstByteMillis < 0) {
      close();
    }
  }

  boolean busy() {
    return state == State.READING || state == State.ANSWERING;
  }

  void close() {
    stopTimer();
    state = State.CLOSING;
    if (context != null) {
      context.close();
    }
  }

  private void closeAfter(ChannelFuture written) {
    state = State.CLOSING;
    written.addListener(
        done -> {
          ((SocketChannel) context.channel()).shutdownOutput();
          context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
  }

  private void answered(ChannelFuture written) {
    answer = null;
    if (!keepAlive || server.draining()) {
      closeAfter(written);
      return;
    }
    state = State.IDLE;
    idleSinceMillis = server.nowMillis();
    written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    if (!readAhead.isEmpty()) {
      context.executor().execute(this::takeReadAhead);
      return;
    }
    armTimer();
  }

  private void takeReadAhead() {
    while (!readAhead.isEmpty() && (state == State.IDLE || state == State.READING)) {
      take(readAhead.poll());
    }
    if (readAhead.size() <= MAX_READ_AHEAD && state != State.CLOSING) {
      context.channel().config().setAutoRead(true);
    }
    if (state == State.IDLE) {
      armTimer();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    stopTimer();
    state = State.CLOSING;
    server.closed(this);
    while (!readAhead.isEmpty()) {
      ReferenceCountUtil.release(readAhead.poll());
    }
    Answer open = answer;
    answer = null;
    if (open != null) {
      open.left();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext unused) {
    if (context.channel().isWritable() && answer != null && answer.writableAgain != null) {
      answer.writableAgain.run();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
    if (!(cause instanceof java.io.IOException)) {
      log.atError().setCause(cause).log("connection of a caller failed");
    }
    context.close();
  }

  /** The answer to the request in progress. */
  private final class Answer implements CallerAnswer {
    private Runnable gone;
    private boolean left;
    private Runnable writableAgain;

    private boolean current() {
      return answer == this;
    }

    private void finishHead(HttpResponse response) {
      if (!keepAlive || server.draining()) {
        keepAlive = false;
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
    }

    @Override
    public void whole(int status, HttpHeaders headers, byte[] bytes) {
      if (!current()) {
        return;
      }
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(bytes));
      response.headers().set(headers);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      finishHead(response);
      answered(context.writeAndFlush(response));
    }

    @Override
    public void begin(int status, HttpHeaders headers) {
      if (!current()) {
        return;
      }
      HttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
      response.headers().set(headers);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      finishHead(response);
      context.writeAndFlush(response);
    }

    @Override
    public void part(byte[] bytes) {
      if (current()) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
      }
    }

    @Override
    public void end() {
      if (current()) {
        answered(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
      }
    }

    @Override
    public void abort() {
      if (current()) {
        answer = null;
        close();
      }
    }

    @Override
    public boolean writable() {
      return context.channel().isWritable();
    }

    @Override
    public void onGone(Runnable action) {
      gone = action;
      if (left) {
        action.run();
      }
    }

    private void left() {
      left = true;
      if (gone != null) {
        gone.run();
      }
    }

    @Override
    public void onWritable(Runnable action) {
      writableAgain = action;
    }
  }
}
