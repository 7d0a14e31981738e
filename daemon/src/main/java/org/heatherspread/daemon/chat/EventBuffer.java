package org.heatherspread.daemon.chat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.pekko.util.ByteString;

/**
 * Buffers server-sent events for a caller, so that the events of one engine chunk are sent
 * together.
 *
 * <p>Not thread-safe.
 */
final class EventBuffer {
  private static final byte[] ID_FIELD = ascii("id: ");
  private static final byte[] DATA_FIELD = ascii("\ndata: ");
  private static final byte[] EVENT_END = ascii("\n\n");
  private static final byte[] HEARTBEAT_COMMENT = ascii(": heartbeat\n\n");
  private static final byte[] ERROR_FIELDS = ascii("event: error\ndata: ");
  private static final byte[] EMPTY = new byte[0];
  private static final int MAX_OFFSET_DIGITS = 20;

  private byte[] bytes = EMPTY;
  private int length;

  /** Appends an event whose id is the offset. */
  void appendEvent(long offset, byte[] source, int from, int to) {
    ensureCapacity(
        ID_FIELD.length + MAX_OFFSET_DIGITS + DATA_FIELD.length + (to - from) + EVENT_END.length);
    append(ID_FIELD, 0, ID_FIELD.length);
    appendNumber(offset);
    append(DATA_FIELD, 0, DATA_FIELD.length);
    append(source, from, to);
    append(EVENT_END, 0, EVENT_END.length);
  }

  /** Appends an error event. It has no id, so the caller's last event id is unchanged. */
  void appendError(byte[] json) {
    ensureCapacity(ERROR_FIELDS.length + json.length + EVENT_END.length);
    append(ERROR_FIELDS, 0, ERROR_FIELDS.length);
    append(json, 0, json.length);
    append(EVENT_END, 0, EVENT_END.length);
  }

  /** Appends a comment that keeps the connection alive. */
  void appendHeartbeat() {
    ensureCapacity(HEARTBEAT_COMMENT.length);
    append(HEARTBEAT_COMMENT, 0, HEARTBEAT_COMMENT.length);
  }

  /** Returns and clears the buffered bytes. */
  ByteString drain() {
    if (length == 0) {
      return ByteString.emptyByteString();
    }
    ByteString result = ByteString.fromArrayUnsafe(bytes, 0, length);
    bytes = EMPTY;
    length = 0;
    return result;
  }

  private void ensureCapacity(int additionalBytes) {
    if (length + additionalBytes > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + additionalBytes, 2 * length));
    }
  }

  private void append(byte[] source, int from, int to) {
    System.arraycopy(source, from, bytes, length, to - from);
    length += to - from;
  }

  private void appendNumber(long value) {
    int digits = 1;
    for (long remaining = value; remaining >= 10; remaining /= 10) {
      digits++;
    }
    long remaining = value;
    for (int i = length + digits - 1; i >= length; i--) {
      bytes[i] = (byte) ('0' + remaining % 10);
      remaining /= 10;
    }
    length += digits;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
