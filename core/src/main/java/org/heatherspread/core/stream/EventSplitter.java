package org.heatherspread.core.stream;

import java.util.Arrays;
import java.util.function.BiConsumer;

/**
 * Splits the bytes of an event stream into events, so that a stream that breaks within an event can
 * continue at another endpoint. Not thread-safe.
 */
public final class EventSplitter {
  private static final byte[] ID_FIELD = {'i', 'd', ':'};
  private static final int INITIAL_BYTES = 256;

  /** Ids above this one have too many digits to be read. */
  private static final long MAX_ID = Long.MAX_VALUE / 10 - 1;

  private final int maxEventBytes;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int size;
  private int scanned;

  private EventSplitter(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /** Creates a splitter that reports an incomplete event larger than {@code maxEventBytes}. */
  public static EventSplitter create(int maxEventBytes) {
    return new EventSplitter(maxEventBytes);
  }

  /**
   * Adds bytes and passes each complete event with its numeric id, or -1 without one, to the
   * consumer.
   *
   * @return false if the incomplete event exceeds the size limit
   */
  public boolean add(byte[] bytes, BiConsumer<byte[], Long> consumer) {
    if (size + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, size, bytes.length);
    size += bytes.length;
    int start = 0;
    int i = Math.max(scanned, 1);
    for (; i < size; i++) {
      if (endsEvent(i, start)) {
        byte[] event = Arrays.copyOfRange(buffer, start, i + 1);
        start = i + 1;
        consumer.accept(event, eventId(event));
      }
    }
    if (start > 0) {
      System.arraycopy(buffer, start, buffer, 0, size - start);
      size -= start;
    }
    scanned = size;
    return size <= maxEventBytes;
  }

  /** Returns whether an incomplete event is buffered. */
  public boolean hasPartialEvent() {
    return size > 0;
  }

  /** Returns whether a block of a stream holds comments only, which callers ignore. */
  public static boolean isComment(byte[] block) {
    boolean lineStarts = true;
    for (byte next : block) {
      if (lineStarts && next != ':' && next != '\r' && next != '\n') {
        return false;
      }
      lineStarts = next == '\n';
    }
    return true;
  }

  private boolean endsEvent(int at, int start) {
    if (buffer[at] != '\n' || at - 1 < start) {
      return false;
    }
    if (buffer[at - 1] == '\n') {
      return true;
    }
    return at - 2 >= start && buffer[at - 1] == '\r' && buffer[at - 2] == '\n';
  }

  private static long eventId(byte[] event) {
    int line = 0;
    while (line < event.length) {
      int end = line;
      while (end < event.length && event[end] != '\n') {
        end++;
      }
      if (startsWithId(event, line, end)) {
        return parseNumber(event, line + ID_FIELD.length, end);
      }
      line = end + 1;
    }
    return -1;
  }

  private static boolean startsWithId(byte[] event, int from, int to) {
    if (to - from < ID_FIELD.length) {
      return false;
    }
    return Arrays.equals(event, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
  }

  private static long parseNumber(byte[] event, int from, int to) {
    long value = -1;
    for (int i = from; i < to; i++) {
      int digit = event[i] - '0';
      if (value > MAX_ID) {
        return -1;
      }
      if (digit >= 0 && digit <= 9) {
        value = Math.max(value, 0) * 10 + digit;
      } else if (event[i] != ' ' && event[i] != '\r') {
        return -1;
      }
    }
    return value;
  }
}
