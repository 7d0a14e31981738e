package org.heatherspread.daemon.chat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.heatherspread.daemon.engine.FrameParser;

/**
 * Response text in the escaped form of a JSON string, without quotes. Tokens are appended without
 * JSON parsing, because concatenated escaped strings are the escaped form of the concatenated text.
 *
 * <p>Not thread-safe.
 */
final class EscapedTextBuffer {
  private static final int MIN_CAPACITY = 256;

  private byte[] bytes;
  private int length;

  private EscapedTextBuffer(byte[] bytes, int length) {
    this.bytes = bytes;
    this.length = length;
  }

  /** Creates a buffer that starts with already escaped text. */
  static EscapedTextBuffer withPrefix(String prefix) {
    byte[] initial = prefix.getBytes(StandardCharsets.UTF_8);
    return new EscapedTextBuffer(initial, initial.length);
  }

  /** Appends the JSON string that starts at {@code from}, up to its closing quote. */
  void append(byte[] source, int from, int to) {
    int end = FrameParser.findStringEnd(source, from, to);
    int added = end - from;
    if (length + added > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(MIN_CAPACITY, Math.max(2 * length, length + added)));
    }
    System.arraycopy(source, from, bytes, length, added);
    length += added;
  }

  /** Returns the escaped text, without quotes. */
  String toEscapedString() {
    return new String(bytes, 0, length, StandardCharsets.UTF_8);
  }
}
