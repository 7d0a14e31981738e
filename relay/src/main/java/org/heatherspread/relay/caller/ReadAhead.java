package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import org.heatherspread.relay.buffer.BufferBudget;

/** Messages that were decoded during a response, in order. Confined to its event loop. */
final class ReadAhead {
  /** Maximum number of messages with which the connection is read. */
  private static final int MAX_MESSAGES = 64;

  private final BufferBudget buffers;
  private final ArrayDeque<Object> messages = new ArrayDeque<>();
  private int headBytes;

  ReadAhead(BufferBudget buffers) {
    this.buffers = buffers;
  }

  void add(Object message) {
    messages.add(message);
    buffers.hold(contentSize(message));
    headBytes += headSize(message);
  }

  /** Removes the first message, which the caller must release. */
  Object poll() {
    Object message = messages.poll();
    buffers.release(contentSize(message));
    headBytes -= headSize(message);
    return message;
  }

  private static int contentSize(Object message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private static int headSize(Object message) {
    return message instanceof HttpRequest request ? RequestFraming.estimateBytes(request) : 0;
  }

  /** Returns the estimated heap of the heads. */
  int headBytes() {
    return headBytes;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Returns whether nothing more should be read until messages have been processed. */
  boolean isFull() {
    return messages.size() > MAX_MESSAGES || !messages.isEmpty() && buffers.isFull();
  }

  void release() {
    while (!messages.isEmpty()) {
      ReferenceCountUtil.release(poll());
    }
  }
}
