package org.heatherspread.relay.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.heatherspread.relay.buffer.BufferBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the response to one request of a connection.
 *
 * <p>Invariants: a response has one head; nothing is written once the connection has ended or has
 * begun another response. Confined to the event loop of the connection.
 */
final class ConnectionResponseWriter implements ResponseWriter {
  private static final Logger log = LoggerFactory.getLogger(ConnectionResponseWriter.class);

  private final CallerConnection connection;
  private final ChannelHandlerContext context;
  private final BufferBudget buffers;
  private Runnable disconnectAction;
  private boolean disconnected;
  private boolean started;
  private Runnable writableAction;

  ConnectionResponseWriter(
      CallerConnection connection, ChannelHandlerContext context, BufferBudget buffers) {
    this.connection = connection;
    this.context = context;
    this.buffers = buffers;
  }

  private boolean isCurrent() {
    return connection.isResponding(this);
  }

  /** Returns whether the head can be written now; a second one cuts the response off. */
  private boolean beginHead(int status) {
    if (!isCurrent()) {
      return false;
    }
    if (started) {
      log.atError()
          .addKeyValue("target", connection.target())
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
    if (connection.closesAfterResponse(requested)) {
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
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    setConnectionHeader(response);
    connection.onResponseComplete(holdUntilWritten(context.writeAndFlush(response), body.length));
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
      buffers.hold(bytes);
      writeFuture.addListener(written -> buffers.release(bytes));
    }
    return writeFuture;
  }

  @Override
  public void complete() {
    if (isCurrent()) {
      connection.onResponseComplete(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  @Override
  public void abort() {
    if (isCurrent()) {
      connection.abortResponse();
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

  /** Tells the handler that the caller has left. */
  void onCallerDisconnected() {
    disconnected = true;
    if (disconnectAction != null) {
      disconnectAction.run();
    }
  }

  /** Tells the handler that more can be written. */
  void onChannelWritable() {
    if (writableAction != null) {
      writableAction.run();
    }
  }

  @Override
  public void onWritable(Runnable action) {
    writableAction = action;
  }
}
