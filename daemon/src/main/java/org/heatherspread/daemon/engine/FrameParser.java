package org.heatherspread.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.heatherspread.core.request.FrameKind;

/**
 * Splits the event stream of an engine into frames without parsing JSON or copying data. The format
 * is server-sent events of the HTML standard, with the event ids of {@code docs/INTERFACES.md}.
 *
 * <p>Not thread-safe; one instance per connection.
 */
public final class FrameParser {
  private static final byte[] ID_FIELD = ascii("id: ");
  private static final byte[] DATA_FIELD = ascii("data: ");
  private static final byte[] END_MARKER = ascii("[DONE]");
  private static final byte[] CONTENT_FIELD = ascii("\"content\":\"");
  private static final byte[] FINISH_REASON_FIELD = ascii("\"finish_reason\":\"");
  private static final byte[] USAGE_FIELD = ascii("\"usage\":{");
  private static final byte[] EMPTY = new byte[0];
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final long INVALID_NUMBER = -1;

  private final byte[] requestId;
  private byte[] partialEvent = EMPTY;
  private byte[] buffer = EMPTY;
  private int idStart;
  private int idEnd;
  private int dataStart;
  private int dataEnd;

  private FrameParser(String requestId) {
    this.requestId = requestId.getBytes(StandardCharsets.UTF_8);
  }

  /** Creates a parser for the frames of a request. */
  public static FrameParser create(String requestId) {
    return new FrameParser(requestId);
  }

  /** Receives the frames of a chunk, in order. */
  public interface Handler {
    /**
     * Handles a frame. The array must not be retained.
     *
     * @param sameRequest whether the event id starts with the request id
     * @param attempt attempt number in the event id, or -1 if invalid
     * @param offset offset in the event id, or -1 if invalid
     * @param kind type of the frame
     * @param bytes array that contains the data
     * @param start index of the first byte of the data
     * @param end index after the last byte of the data
     * @param contentStart index of the first byte of the content's JSON string, or -1 if there is
     *     none
     */
    void onFrame(
        boolean sameRequest,
        int attempt,
        long offset,
        FrameKind kind,
        byte[] bytes,
        int start,
        int end,
        int contentStart);

    /** Handles an event that only consists of a comment, which keeps the connection alive. */
    void onHeartbeat();
  }

  /**
   * Parses a chunk. The parser may retain the array.
   *
   * @return false if an incomplete event exceeds the maximum size, after which the stream cannot be
   *     read
   */
  public boolean parse(byte[] chunk, Handler handler) {
    buffer = partialEvent.length == 0 ? chunk : concat(partialEvent, chunk);
    int eventStart = 0;
    for (int i = Math.max(1, partialEvent.length); i < buffer.length; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\n') {
        parseEvent(eventStart, i, handler);
        eventStart = i + 1;
      }
    }
    partialEvent =
        eventStart == buffer.length ? EMPTY : Arrays.copyOfRange(buffer, eventStart, buffer.length);
    return partialEvent.length <= MAX_EVENT_BYTES;
  }

  private void parseEvent(int from, int to, Handler handler) {
    resetPositions();
    boolean comment = false;
    int start = from;
    while (start < to) {
      int end = findLineEnd(start, to);
      if (buffer[start] == ':') {
        comment = true;
      } else if (startsWith(start, end, ID_FIELD)) {
        idStart = start + ID_FIELD.length;
        idEnd = end;
      } else if (startsWith(start, end, DATA_FIELD)) {
        dataStart = start + DATA_FIELD.length;
        dataEnd = end;
      }
      start = end + 1;
    }
    if (dataEnd > dataStart) {
      emitFrame(handler);
    } else if (comment) {
      handler.onHeartbeat();
    }
  }

  private void emitFrame(Handler handler) {
    boolean matchesRequest =
        startsWith(idStart, idEnd, requestId) && hasCharAt(idStart + requestId.length, ':');
    int attemptSeparator =
        matchesRequest ? idStart + requestId.length : lastIndexOfColon(lastIndexOfColon(idEnd));
    int offsetSeparator = lastIndexOfColon(idEnd);
    int attempt = (int) parseNumber(attemptSeparator + 1, offsetSeparator);
    long offset = parseNumber(offsetSeparator + 1, idEnd);
    int contentStart = findContentStart();
    FrameKind kind = contentStart >= 0 ? FrameKind.TOKEN : classifyWithoutContent();
    handler.onFrame(
        matchesRequest, attempt, offset, kind, buffer, dataStart, dataEnd, contentStart);
  }

  private int findContentStart() {
    int found = indexOf(CONTENT_FIELD, dataStart, dataEnd);
    int start = found + CONTENT_FIELD.length;
    boolean empty = found < 0 || start >= dataEnd || buffer[start] == '"';
    return empty ? -1 : start;
  }

  private FrameKind classifyWithoutContent() {
    if (startsWith(dataStart, dataEnd, END_MARKER)) {
      return FrameKind.END;
    }
    if (indexOf(FINISH_REASON_FIELD, dataStart, dataEnd) >= 0) {
      return FrameKind.FINISH;
    }
    if (indexOf(USAGE_FIELD, dataStart, dataEnd) >= 0) {
      return FrameKind.USAGE;
    }
    return FrameKind.OPENING;
  }

  /** Returns the index of the closing quote of a JSON string, or {@code to} if there is none. */
  public static int findStringEnd(byte[] bytes, int from, int to) {
    int i = from;
    while (i < to && bytes[i] != '"') {
      i += bytes[i] == '\\' ? 2 : 1;
    }
    return Math.min(i, to);
  }

  private void resetPositions() {
    idStart = 0;
    idEnd = 0;
    dataStart = 0;
    dataEnd = 0;
  }

  private int findLineEnd(int from, int to) {
    int i = from;
    while (i < to && buffer[i] != '\n') {
      i++;
    }
    return i;
  }

  private int lastIndexOfColon(int before) {
    int i = before - 1;
    while (i >= idStart && buffer[i] != ':') {
      i--;
    }
    return i;
  }

  private boolean hasCharAt(int index, char expected) {
    return index < idEnd && buffer[index] == expected;
  }

  private boolean startsWith(int from, int to, byte[] expected) {
    return to - from >= expected.length
        && Arrays.equals(buffer, from, from + expected.length, expected, 0, expected.length);
  }

  private int indexOf(byte[] pattern, int from, int to) {
    int last = to - pattern.length;
    for (int i = from; i <= last; i++) {
      if (buffer[i] == '"'
          && Arrays.equals(buffer, i, i + pattern.length, pattern, 0, pattern.length)) {
        return i;
      }
    }
    return -1;
  }

  private long parseNumber(int from, int to) {
    if (from >= to || to - from > 18) {
      return INVALID_NUMBER;
    }
    long value = 0;
    for (int i = from; i < to; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        return INVALID_NUMBER;
      }
      value = value * 10 + digit;
    }
    return value;
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
