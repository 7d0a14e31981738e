package org.heatherspread.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.heatherspread.relay.buffer.BufferBudget;

/**
 * The body of a request that is being read, with the bytes reserved for it.
 *
 * <p>Invariants: bytes are reserved before they are kept, and released by {@link #release}; a body
 * that the handler does not use is counted but neither reserved nor kept. Confined to its event
 * loop.
 */
final class RequestBody {
  /** Size of the first buffer of a body without a declared length. */
  private static final int MIN_CHUNKED_BYTES = 4_096;

  private final BufferBudget buffers;
  private ByteBuf content = Unpooled.EMPTY_BUFFER;
  private int reservedBytes;
  private int receivedBytes;
  private int declaredBytes;
  private boolean chunked;
  private boolean kept;

  RequestBody(BufferBudget buffers) {
    this.buffers = buffers;
  }

  /**
   * Begins the body of the next request.
   *
   * @param declaredLength length, 0 if it is not declared
   * @param isChunked whether the body has no declared length
   * @param isKept whether the handler uses the body
   */
  void begin(int declaredLength, boolean isChunked, boolean isKept) {
    declaredBytes = declaredLength;
    chunked = isChunked;
    kept = isKept;
    receivedBytes = 0;
  }

  /** Reserves the declared length; returns false if it is not available. */
  boolean reserveDeclared() {
    return !kept || reserve(declaredBytes);
  }

  /** Reserves what a body needs that will have a size; returns false if it is not available. */
  boolean reserveFor(int size, boolean last, int maxBytes) {
    return !kept || size <= reservedBytes || reserve(chunkedReservation(size, last, maxBytes));
  }

  private boolean reserve(int nextBytes) {
    if (nextBytes <= reservedBytes) {
      return true;
    }
    if (!buffers.reserveRequest(reservedBytes, nextBytes)) {
      return false;
    }
    reservedBytes = nextBytes;
    return true;
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

  /** Appends bytes for which there is a reservation. */
  void append(ByteBuf bytes, ByteBufAllocator allocator) {
    receivedBytes += bytes.readableBytes();
    if (kept && bytes.isReadable()) {
      ensureCapacity(receivedBytes, allocator);
      content.writeBytes(bytes);
    }
  }

  /** Enlarges the buffer of the body, that of a large one apart from the chunks of small ones. */
  private void ensureCapacity(int size, ByteBufAllocator allocator) {
    if (content.capacity() >= size) {
      return;
    }
    int doubledBytes = Math.max(MIN_CHUNKED_BYTES, 2 * content.capacity());
    int capacity = chunked ? Math.max(size, Math.min(reservedBytes, doubledBytes)) : reservedBytes;
    ByteBuf larger =
        capacity > BufferBudget.SMALL_BODY_BYTES
            ? UnpooledByteBufAllocator.DEFAULT.directBuffer(capacity, capacity)
            : allocator.directBuffer(capacity, capacity);
    larger.writeBytes(content);
    content.release();
    content = larger;
  }

  /** Releases what was reserved for a body without a declared length beyond its buffer. */
  void shrinkReservation() {
    int neededBytes = content.capacity();
    if (neededBytes < reservedBytes) {
      buffers.releaseRequest(reservedBytes);
      buffers.reserveRequest(0, neededBytes);
      reservedBytes = neededBytes;
    }
  }

  /** Releases the body and its reservation. */
  void release() {
    content.release();
    content = Unpooled.EMPTY_BUFFER;
    buffers.releaseRequest(reservedBytes);
    reservedBytes = 0;
  }

  ByteBuf content() {
    return content;
  }

  boolean isChunked() {
    return chunked;
  }

  int receivedBytes() {
    return receivedBytes;
  }

  int reservedBytes() {
    return reservedBytes;
  }

  /** Returns the number of bytes of a declared length that have not been received. */
  int remainingBytes() {
    return chunked ? 0 : declaredBytes - receivedBytes;
  }
}
