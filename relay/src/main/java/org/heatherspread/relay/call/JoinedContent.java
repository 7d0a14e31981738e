package org.heatherspread.relay.call;

import java.nio.charset.StandardCharsets;

/**
 * Detects the head of another response within a body or an event. An endpoint that stops within a
 * body and then writes another response on the same connection completes the first one with bytes
 * of the second, which no framing shows. A status line alone is no evidence, as text may quote one;
 * the header with which endpoints repeat the id of a request has to follow it. Immutable.
 */
final class JoinedContent {
  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);

  private static final String LINE_END = "\r\n";

  /** Length of a head up to the id of its request, beyond which it is not looked for. */
  private static final int MAX_HEAD_BYTES = 4_096;

  private final String idField;

  private JoinedContent(String idField) {
    this.idField = idField;
  }

  /**
   * Creates a detector.
   *
   * @param idHeader name of the header with which responses repeat the id of the request
   */
  static JoinedContent create(String idHeader) {
    return new JoinedContent(idHeader + ':');
  }

  /** Returns whether another response begins within the bytes. */
  boolean isJoined(byte[] bytes) {
    int last = bytes.length - PROTOCOL.length;
    for (int start = 0; start <= last; start++) {
      if (bytes[start] == PROTOCOL[0] && isProtocol(bytes, start) && isHead(bytes, start)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isProtocol(byte[] bytes, int start) {
    for (int i = 1; i < PROTOCOL.length; i++) {
      if (bytes[start + i] != PROTOCOL[i]) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the lines after a protocol have the id of a request before they end. */
  private boolean isHead(byte[] bytes, int start) {
    int length = Math.min(MAX_HEAD_BYTES, bytes.length - start);
    String text = new String(bytes, start, length, StandardCharsets.ISO_8859_1);
    int end = text.indexOf(LINE_END);
    while (end >= 0) {
      int line = end + LINE_END.length();
      if (text.regionMatches(true, line, idField, 0, idField.length())) {
        return true;
      }
      end = text.indexOf(LINE_END, line);
      if (end == line) {
        return false;
      }
    }
    return false;
  }
}
