package org.heatherspread.daemon.chat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.heatherspread.daemon.engine.FrameParser;

/**
 * The text of an answer so far, kept as the inside of a JSON string, so that nothing is parsed for
 * each token. Joining the insides of JSON strings gives the inside of the joined string.
 *
 * <p>Not safe for use by several threads.
 */
final class EscapedTextBuffer {
  private static final int MIN_CAPACITY = 256;

  private byte[] bytes;
  private int length;

  private EscapedTextBuffer(byte[] bytes, int length) {
    this.bytes = bytes;
    this.length = length;
  }

  /** Creates a text that begins with a prefix, itself the inside of a JSON string. */
  static EscapedTextBuffer withPrefix(String prefix) {
    byte[] initial = prefix.getBytes(StandardCharsets.UTF_8);
    return new EscapedTextBuffer(initial, initial.length);
  }

  /** Appends the JSON string that begins at {@code from}. */
  void append(byte[] source, int from, int to) {
    int end = FrameParser.findStringEnd(source, from, to);
    int added = end - from;
    if (length + added > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(MIN_CAPACITY, Math.max(2 * length, length + added)));
    }
    System.arraycopy(source, from, bytes, length, added);
    length += added;
  }

  /** Returns the inside of the JSON string. */
  String toEscapedString() {
    return new String(bytes, 0, length, StandardCharsets.UTF_8);
  }
}
