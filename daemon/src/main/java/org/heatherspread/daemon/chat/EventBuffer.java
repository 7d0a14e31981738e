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
  private static final byte[] ID = ascii("id: ");
  private static final byte[] DATA = ascii("\ndata: ");
  private static final byte[] END = ascii("\n\n");
  private static final byte[] HEARTBEAT = ascii(": heartbeat\n\n");
  private static final byte[] ERROR = ascii("event: error\ndata: ");
  private static final byte[] NOTHING = new byte[0];
  private static final int MOST_DIGITS = 20;

  private byte[] bytes = NOTHING;
  private int length;

  /** Appends one event with an id. */
  void event(long offset, byte[] source, int from, int to) {
    reserve(ID.length + MOST_DIGITS + DATA.length + (to - from) + END.length);
    put(ID, 0, ID.length);
    number(offset);
    put(DATA, 0, DATA.length);
    put(source, from, to);
    put(END, 0, END.length);
  }

  /** Appends an event that tells of an error; it has no id, so that the caller's last id stays. */
  void error(byte[] json) {
    reserve(ERROR.length + json.length + END.length);
    put(ERROR, 0, ERROR.length);
    put(json, 0, json.length);
    put(END, 0, END.length);
  }

  /** Appends a comment, which keeps the connection alive. */
  void heartbeat() {
    reserve(HEARTBEAT.length);
    put(HEARTBEAT, 0, HEARTBEAT.length);
  }

  /** Returns what was gathered, which the buffer then forgets. */
  ByteString take() {
    if (length == 0) {
      return ByteString.emptyByteString();
    }
    ByteString taken = ByteString.fromArrayUnsafe(bytes, 0, length);
    bytes = NOTHING;
    length = 0;
    return taken;
  }

  private void reserve(int more) {
    if (length + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(length + more, 2 * length));
    }
  }

  private void put(byte[] source, int from, int to) {
    System.arraycopy(source, from, bytes, length, to - from);
    length += to - from;
  }

  private void number(long value) {
    int digits = 1;
    for (long rest = value; rest >= 10; rest /= 10) {
      digits++;
    }
    long rest = value;
    for (int i = length + digits - 1; i >= length; i--) {
      bytes[i] = (byte) ('0' + rest % 10);
      rest /= 10;
    }
    length += digits;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
