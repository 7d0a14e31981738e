package org.heatherspread.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import org.heatherspread.relay.buffer.BufferBudget;

/**
 * Passes received bytes to the decoder only while the connection waits for them, one head at a
 * time, so that requests sent ahead are held as bytes and not as decoded messages, which take many
 * times as much. Counts the fields that the decoder holds of a head or of trailers.
 *
 * <p>Invariants: bytes are passed on in their order and unchanged; reading stops while more than
 * one buffer is held, or while the buffers of the daemon are full. Confined to its event loop.
 */
final class RequestGate extends ChannelInboundHandlerAdapter {
  /** Bytes held for later requests from which on the connection is not read. */
  private static final int MAX_HELD_BYTES = 1 << 14;

  /** Bytes of a chunked body that are passed on at a time, as requests may follow its end. */
  private static final int CHUNKED_SLICE_BYTES = 1 << 10;

  /** Bytes passed on at a time within a large chunk. */
  private static final int MAX_CHUNKED_SLICE_BYTES = 1 << 13;

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private final CallerConnection connection;
  private final CallerServer server;
  private final BufferBudget buffers;
  private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private int heldBytes;
  private boolean feeding;
  private boolean fed;
  private boolean afterLineFeed;
  private int chunkedSliceBytes = CHUNKED_SLICE_BYTES;

  RequestGate(CallerConnection connection, CallerServer server) {
    this.connection = connection;
    this.server = server;
    this.buffers = server.buffers();
    connection.setGate(this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext addedContext) {
    context = addedContext;
  }

  @Override
  public void channelRead(ChannelHandlerContext unused, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (connection.discardsInput()) {
      bytes.release();
      return;
    }
    connection.progress().onBytes(server.nowMillis());
    held.add(bytes);
    heldBytes += bytes.readableBytes();
    buffers.hold(bytes.readableBytes());
    feed();
  }

  /** Passes on what the connection waits for. */
  void feed() {
    if (feeding) {
      return;
    }
    feeding = true;
    try {
      while (!held.isEmpty() && wantsInput()) {
        feedSlice();
      }
    } finally {
      feeding = false;
    }
    if (connection.discardsInput()) {
      releaseHeld();
    }
    boolean full =
        connection.readAhead().isFull()
            || heldBytes > 0 && (heldBytes > MAX_HELD_BYTES || buffers.isFull());
    context.channel().config().setAutoRead(!full);
  }

  /** Returns whether received bytes belong to a request that can be read now. */
  private boolean wantsInput() {
    return connection.progress().isReceiving() && connection.readAhead().isEmpty();
  }

  private void feedSlice() {
    ByteBuf first = held.peek().retain();
    final int start = first.readerIndex();
    final boolean chunks = connection.isReadingChunks();
    int size = sliceBytes(first, chunks);
    final ByteBuf slice = first.readRetainedSlice(size);
    heldBytes -= size;
    buffers.release(size);
    if (!first.isReadable()) {
      held.poll().release();
    }
    fed = true;
    if (connection.progress().isUnused()) {
      connection.progress().onBytes(server.nowMillis());
    }
    HeadUse headUse = connection.headUse();
    headUse.beginDecoding();
    context.fireChannelRead(slice);
    boolean withinChunk = headUse.contentBytes() == size;
    chunkedSliceBytes =
        withinChunk
            ? Math.min(MAX_CHUNKED_SLICE_BYTES, 2 * chunkedSliceBytes)
            : CHUNKED_SLICE_BYTES;
    accountForFields(first, start, size, chunks && !withinChunk);
    first.release();
  }

  /** Counts the fields that the decoder holds after a slice. */
  private void accountForFields(ByteBuf bytes, int start, int size, boolean chunkLines) {
    HeadUse headUse = connection.headUse();
    boolean reserved = true;
    if (!headUse.hasDecoded()) {
      reserved = headUse.addPartial(size, countLineFeeds(bytes, start, start + size));
    } else if (chunkLines) {
      reserved = headUse.addPartial(0, countTrailerLineFeeds(bytes, start, start + size));
    }
    if (!reserved && connection.progress().isIncomplete()) {
      connection.refuseIncomplete("heads");
    }
  }

  /** Returns how many bytes are passed on next: to the end of a head, or of a body at most. */
  private int sliceBytes(ByteBuf bytes, boolean chunks) {
    int bodyBytes = connection.remainingBodyBytes();
    if (bodyBytes == 0 && !chunks) {
      return headBytes(bytes);
    }
    afterLineFeed = false;
    return Math.min(bytes.readableBytes(), chunks ? chunkedSliceBytes : bodyBytes);
  }

  /** Returns the number of bytes up to the next empty line, all if there is none. */
  private int headBytes(ByteBuf bytes) {
    int start = bytes.readerIndex();
    int end = bytes.writerIndex();
    int lineStart = start;
    boolean atLineStart = afterLineFeed;
    while (lineStart < end) {
      int lineFeed = bytes.indexOf(lineStart, end, LINE_FEED);
      if (lineFeed < 0) {
        break;
      }
      int length = lineFeed - lineStart;
      boolean empty = length == 0 || length == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN;
      if (atLineStart && empty) {
        afterLineFeed = false;
        return lineFeed + 1 - start;
      }
      atLineStart = true;
      lineStart = lineFeed + 1;
    }
    boolean returnsOnly = lineStart + 1 == end && bytes.getByte(lineStart) == CARRIAGE_RETURN;
    afterLineFeed = atLineStart && (lineStart == end || returnsOnly);
    return end - start;
  }

  private static int countLineFeeds(ByteBuf bytes, int start, int end) {
    int count = 0;
    int next = bytes.indexOf(start, end, LINE_FEED);
    while (next >= 0) {
      count++;
      next = next + 1 < end ? bytes.indexOf(next + 1, end, LINE_FEED) : -1;
    }
    return count;
  }

  /** Counts the line feeds after the last line that may be the size of the last chunk, 0. */
  private static int countTrailerLineFeeds(ByteBuf bytes, int start, int end) {
    for (int i = end - 1; i >= start; i--) {
      boolean startsLine = i == start || bytes.getByte(i - 1) == LINE_FEED;
      if (startsLine && bytes.getByte(i) == '0') {
        return countLineFeeds(bytes, i, end);
      }
    }
    return 0;
  }

  /** Returns the number of bytes that were received ahead of the response in progress. */
  int heldBytes() {
    return heldBytes;
  }

  /** Releases what was received ahead. */
  void releaseHeld() {
    while (!held.isEmpty()) {
      held.poll().release();
    }
    buffers.release(heldBytes);
    heldBytes = 0;
  }

  /**
   * Tells the decoder of the end of a read only if it got something, as it would read on otherwise.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext unused) {
    if (fed) {
      fed = false;
      context.fireChannelReadComplete();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext unused) {
    releaseHeld();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext unused) {
    releaseHeld();
  }
}
