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

  /** Shortest part of the protocol's name that is taken for the begin of a head. */
  private static final int MIN_PROTOCOL_BYTES = 5;

  /** Part of a body in which the begin of another head is looked for. */
  private static final int MAX_END_BYTES = 1_024;

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

  /** Returns the end of a body after further bytes, as much of it as a head may need. */
  static byte[] joinEnd(byte[] end, byte[] further) {
    int kept = Math.min(end.length, Math.max(0, MAX_END_BYTES - further.length));
    int added = Math.min(further.length, MAX_END_BYTES);
    byte[] result = new byte[kept + added];
    System.arraycopy(end, end.length - kept, result, 0, kept);
    System.arraycopy(further, further.length - added, result, kept, added);
    return result;
  }

  /**
   * Returns whether a body may end within the head of another response. Text may do so, too: only
   * what follows tells.
   *
   * @param end the last bytes of the body
   */
  boolean endsWithinHead(byte[] end) {
    for (int at = end.length - MIN_PROTOCOL_BYTES; at >= 0; at--) {
      int length = Math.min(PROTOCOL.length, end.length - at);
      if (matches(end, at, length)) {
        return !hasBlankLine(end, at);
      }
    }
    return false;
  }

  private static boolean matches(byte[] bytes, int start, int length) {
    for (int i = 0; i < length; i++) {
      if (bytes[start + i] != PROTOCOL[i]) {
        return false;
      }
    }
    return true;
  }

  private static boolean hasBlankLine(byte[] bytes, int start) {
    int line = nextLine(bytes, start);
    while (line < bytes.length) {
      if (isBlank(bytes, line)) {
        return true;
      }
      line = nextLine(bytes, line);
    }
    return false;
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
