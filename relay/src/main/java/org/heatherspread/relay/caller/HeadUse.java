package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import org.heatherspread.relay.buffer.HeadBudget;

/**
 * What the heads of one connection take: the head of the request in progress, and the part of a
 * head or of trailers that the decoder holds. Confined to its event loop.
 */
final class HeadUse implements HeadBudget.Holder {
  private final CallerConnection connection;
  private final HeadBudget budget;
  private int headBytes;
  private int aheadBytes;
  private int partialBytes;
  private int partialLineFeeds;
  private int contentBytes;
  private boolean decoded;

  HeadUse(CallerConnection connection, HeadBudget budget) {
    this.connection = connection;
    this.budget = budget;
  }

  /** Begins to count what the decoder makes of some bytes. */
  void beginDecoding() {
    decoded = false;
    contentBytes = 0;
  }

  /** Notes a message of the decoder, which holds nothing from before then. */
  void onDecoded(Object message) {
    decoded = true;
    contentBytes += message instanceof HttpContent content ? content.content().readableBytes() : 0;
    partialBytes = 0;
    partialLineFeeds = 0;
  }

  /** Returns whether the decoder has passed on a message since decoding began. */
  boolean hasDecoded() {
    return decoded;
  }

  /** Returns the bytes of bodies that the decoder has passed on since decoding began. */
  int contentBytes() {
    return contentBytes;
  }

  /**
   * Counts bytes that the decoder holds, and line feeds, each of which may end a field; returns
   * false if what they take is not available.
   */
  boolean addPartial(int bytes, int lineFeeds) {
    partialBytes += bytes;
    partialLineFeeds += lineFeeds;
    return bytes == 0 && lineFeeds == 0 || budget.set(this, totalBytes());
  }

  /** Reserves a head; returns false if it is not available. */
  boolean reserveHead(HttpRequest request) {
    headBytes = RequestFraming.estimateBytes(request);
    return budget.set(this, totalBytes());
  }

  /** Reserves the heads that were read ahead; returns false if they are not available. */
  boolean reserveAhead(int bytes) {
    aheadBytes = bytes;
    return budget.set(this, totalBytes());
  }

  private int totalBytes() {
    return headBytes + aheadBytes + RequestFraming.estimateBytes(partialBytes, partialLineFeeds);
  }

  /** Releases all but the heads that were read ahead. */
  void release(int remainingAheadBytes) {
    aheadBytes = remainingAheadBytes;
    headBytes = 0;
    partialBytes = 0;
    partialLineFeeds = 0;
    budget.set(this, aheadBytes);
  }

  @Override
  public boolean canEvictHead() {
    return connection.progress().isIncomplete();
  }

  @Override
  public void evictHead() {
    connection.refuseIncomplete("heads");
  }
}
