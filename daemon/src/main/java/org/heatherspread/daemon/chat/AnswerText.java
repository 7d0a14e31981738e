package org.heatherspread.daemon.chat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.heatherspread.daemon.engine.FrameReader;

/**
 * The text of an answer so far, kept as the inside of a JSON string, so that nothing is parsed for
 * each token. Joining the insides of JSON strings gives the inside of the joined string.
 *
 * <p>Not safe for use by several threads.
 */
final class AnswerText {
  private static final int FIRST_BYTES = 256;

  private byte[] bytes;
  private int length;

  private AnswerText(byte[] bytes, int length) {
    this.bytes = bytes;
    this.length = length;
  }

  /** Creates a text that begins with a prefix, itself the inside of a JSON string. */
  static AnswerText of(String prefix) {
    byte[] start = prefix.getBytes(StandardCharsets.UTF_8);
    return new AnswerText(start, start.length);
  }

  /** Appends the JSON string that begins at {@code from}. */
  void append(byte[] source, int from, int to) {
    int end = FrameReader.stringEnd(source, from, to);
    int added = end - from;
    if (length + added > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(FIRST_BYTES, Math.max(2 * length, length + added)));
    }
    System.arraycopy(source, from, bytes, length, added);
    length += added;
  }

  /** Returns the inside of the JSON string. */
  String escaped() {
    return new String(bytes, 0, length, StandardCharsets.UTF_8);
  }
}
