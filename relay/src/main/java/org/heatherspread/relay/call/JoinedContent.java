package org.heatherspread.relay.call;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Detects the head of another response within a body or an event. An endpoint that stops within a
 * body and then writes another response on the same connection completes the first one with bytes
 * of the second, which no framing shows. A status line alone is no evidence, as text may quote one:
 * in a body, the header with which endpoints repeat the id of a request has to follow it; in an
 * event, whose text has a field name in each line, any header that a response needs. Takes time in
 * proportion to the number of bytes. Immutable.
 */
final class JoinedContent {
  private static final byte[] PROTOCOL = bytes("HTTP/1.");
  private static final int STATUS_DIGITS = 3;

  private final List<byte[]> bodyEvidence;
  private final List<byte[]> eventEvidence;

  private JoinedContent(byte[] idField) {
    this.bodyEvidence = List.of(idField);
    this.eventEvidence =
        List.of(
            idField, bytes("content-length:"), bytes("transfer-encoding:"), bytes("connection:"));
  }

  /**
   * Creates a detector.
   *
   * @param idHeader name of the header with which responses repeat the id of the request
   */
  static JoinedContent create(String idHeader) {
    return new JoinedContent(bytes(idHeader + ':'));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns whether another response begins within a body. */
  boolean isJoinedBody(byte[] body) {
    return isJoined(body, bodyEvidence);
  }

  /** Returns whether another response begins within an event. */
  boolean isJoinedEvent(byte[] event) {
    return isJoined(event, eventEvidence);
  }

  private static boolean isJoined(byte[] bytes, List<byte[]> evidence) {
    int at = 0;
    while (at < bytes.length) {
      if (!isStatusLine(bytes, at)) {
        at++;
        continue;
      }
      int line = nextLine(bytes, at);
      while (line < bytes.length && !isBlank(bytes, line)) {
        if (startsWithAny(bytes, line, evidence)) {
          return true;
        }
        line = nextLine(bytes, line);
      }
      at = line;
    }
    return false;
  }

  private static boolean isStatusLine(byte[] bytes, int start) {
    if (!startsWith(bytes, start, PROTOCOL)) {
      return false;
    }
    int at = start + PROTOCOL.length;
    if (at >= bytes.length || !isDigit(bytes[at])) {
      return false;
    }
    at++;
    int status = at;
    while (status < bytes.length && (bytes[status] == ' ' || bytes[status] == '\t')) {
      status++;
    }
    if (status == at || status + STATUS_DIGITS > bytes.length) {
      return false;
    }
    return isDigit(bytes[status]) && isDigit(bytes[status + 1]) && isDigit(bytes[status + 2]);
  }

  private static boolean isDigit(byte value) {
    return value >= '0' && value <= '9';
  }

  /** Returns the start of the line after the one that contains a position. */
  private static int nextLine(byte[] bytes, int at) {
    int end = at;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    return end + 1;
  }

  private static boolean isBlank(byte[] bytes, int line) {
    return bytes[line] == '\n' || bytes[line] == '\r';
  }

  private static boolean startsWithAny(byte[] bytes, int line, List<byte[]> prefixes) {
    for (byte[] prefix : prefixes) {
      if (startsWith(bytes, line, prefix)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the bytes from a position are the prefix, in upper or lower case. */
  private static boolean startsWith(byte[] bytes, int start, byte[] prefix) {
    if (start + prefix.length > bytes.length) {
      return false;
    }
    for (int i = 0; i < prefix.length; i++) {
      if (Character.toLowerCase(bytes[start + i]) != Character.toLowerCase(prefix[i])) {
        return false;
      }
    }
    return true;
  }
}
