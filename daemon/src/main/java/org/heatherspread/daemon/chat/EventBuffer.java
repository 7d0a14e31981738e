package org.heatherspread.daemon.chat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.pekko.util.ByteString;

/**
 * Gathers the events that go to a caller, so that what came in one chunk leaves in one.
 *
 * <p>Not safe for use by several threads.
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

  /** Appends one event with an id. */
  void appendEvent(long offset, byte[] source, int from, int to) {
    ensureCapacity(
        ID_FIELD.length + MAX_OFFSET_DIGITS + DATA_FIELD.length + (to - from) + EVENT_END.length);
    append(ID_FIELD, 0, ID_FIELD.length);
    appendNumber(offset);
    append(DATA_FIELD, 0, DATA_FIELD.length);
    append(source, from, to);
    append(EVENT_END, 0, EVENT_END.length);
  }

  /** Appends an event that tells of an error; it has no id, so that the caller's last id stays. */
  void appendError(byte[] json) {
    ensureCapacity(ERROR_FIELDS.length + json.length + EVENT_END.length);
    append(ERROR_FIELDS, 0, ERROR_FIELDS.length);
    append(json, 0, json.length);
    append(EVENT_END, 0, EVENT_END.length);
  }

  /** Appends a comment, which keeps the connection alive. */
  void appendHeartbeat() {
    ensureCapacity(HEARTBEAT_COMMENT.length);
    append(HEARTBEAT_COMMENT, 0, HEARTBEAT_COMMENT.length);
  }

  /** Returns what was gathered, which the buffer then forgets. */
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
