package org.heatherspread.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.heatherspread.core.request.FrameKind;

/**
 * Cuts an engine's event stream into frames without parsing JSON or copying data. The format is the
 * server-sent events of the HTML standard, with the event ids of {@code docs/INTERFACES.md}.
 *
 * <p>Not safe for use by several threads; one reader for each connection.
 */
public final class FrameReader {
  private static final byte[] ID = ascii("id: ");
  private static final byte[] DATA = ascii("data: ");
  private static final byte[] END = ascii("[DONE]");
  private static final byte[] CONTENT = ascii("\"content\":\"");
  private static final byte[] FINISH = ascii("\"finish_reason\":\"");
  private static final byte[] USAGE = ascii("\"usage\":{");
  private static final byte[] NOTHING = new byte[0];
  private static final int MOST_EVENT_BYTES = 1 << 20;
  private static final long BAD_NUMBER = -1;

  private final byte[] requestId;
  private byte[] rest = NOTHING;
  private byte[] buffer = NOTHING;
  private int idStart;
  private int idEnd;
  private int dataStart;
  private int dataEnd;

  private FrameReader(String requestId) {
    this.requestId = requestId.getBytes(StandardCharsets.UTF_8);
  }

  /** Creates a reader of frames of one request. */
  public static FrameReader create(String requestId) {
    return new FrameReader(requestId);
  }

  /** Gets the frames of one chunk, in order. */
  public interface Sink {
    /**
     * One frame; the array must not be kept.
     *
     * @param sameRequest whether the frame carries the request's id
     * @param attempt attempt in the frame, or -1
     * @param offset offset in the frame, or -1
     * @param kind what the frame holds
     * @param bytes holds the frame's data
     * @param start first byte of the data
     * @param end after the last byte of the data
     * @param text first byte of the content's JSON string, or -1 if the frame has none
     */
    void onFrame(
        boolean sameRequest,
        int attempt,
        long offset,
        FrameKind kind,
        byte[] bytes,
        int start,
        int end,
        int text);

    /** A comment line, which keeps the connection alive. */
    void onHeartbeat();
  }

  /**
   * Reads one chunk, which the reader may keep.
   *
   * @return false if the stream is not in the format, so that nothing more can be read
   */
  public boolean read(byte[] chunk, Sink sink) {
    buffer = rest.length == 0 ? chunk : join(rest, chunk);
    int begin = 0;
    for (int i = Math.max(1, rest.length); i < buffer.length; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\n') {
        event(begin, i, sink);
        begin = i + 1;
      }
    }
    rest = begin == buffer.length ? NOTHING : Arrays.copyOfRange(buffer, begin, buffer.length);
    return rest.length <= MOST_EVENT_BYTES;
  }

  private void event(int from, int to, Sink sink) {
    clear();
    boolean comment = false;
    int start = from;
    while (start < to) {
      int end = lineEnd(start, to);
      if (buffer[start] == ':') {
        comment = true;
      } else if (matches(start, end, ID)) {
        idStart = start + ID.length;
        idEnd = end;
      } else if (matches(start, end, DATA)) {
        dataStart = start + DATA.length;
        dataEnd = end;
      }
      start = end + 1;
    }
    if (dataEnd > dataStart) {
      frame(sink);
    } else if (comment) {
      sink.onHeartbeat();
    }
  }

  private void frame(Sink sink) {
    boolean same = matches(idStart, idEnd, requestId) && at(idStart + requestId.length, ':');
    int colon = same ? idStart + requestId.length : lastColon(lastColon(idEnd));
    int second = lastColon(idEnd);
    int attempt = (int) number(colon + 1, second);
    long offset = number(second + 1, idEnd);
    int text = contentStart();
    FrameKind kind = text >= 0 ? FrameKind.TOKEN : kindWithoutContent();
    sink.onFrame(same, attempt, offset, kind, buffer, dataStart, dataEnd, text);
  }

  private int contentStart() {
    int found = find(CONTENT, dataStart, dataEnd);
    int start = found + CONTENT.length;
    boolean empty = found < 0 || start >= dataEnd || buffer[start] == '"';
    return empty ? -1 : start;
  }

  private FrameKind kindWithoutContent() {
    if (matches(dataStart, dataEnd, END)) {
      return FrameKind.END;
    }
    if (find(FINISH, dataStart, dataEnd) >= 0) {
      return FrameKind.FINISH;
    }
    if (find(USAGE, dataStart, dataEnd) >= 0) {
      return FrameKind.USAGE;
    }
    return FrameKind.OPENING;
  }

  // ---- bytes ----

  /** Returns the end of a JSON string: the index of the quote that closes it. */
  public static int stringEnd(byte[] bytes, int from, int to) {
    int i = from;
    while (i < to && bytes[i] != '"') {
      i += bytes[i] == '\\' ? 2 : 1;
    }
    return Math.min(i, to);
  }

  private void clear() {
    idStart = 0;
    idEnd = 0;
    dataStart = 0;
    dataEnd = 0;
  }

  private int lineEnd(int from, int to) {
    int i = from;
    while (i < to && buffer[i] != '\n') {
      i++;
    }
    return i;
  }

  private int lastColon(int before) {
    int i = before - 1;
    while (i >= idStart && buffer[i] != ':') {
      i--;
    }
    return i;
  }

  private boolean at(int index, char expected) {
    return index < idEnd && buffer[index] == expected;
  }

  private boolean matches(int from, int to, byte[] expected) {
    return to - from >= expected.length
        && Arrays.equals(buffer, from, from + expected.length, expected, 0, expected.length);
  }

  private int find(byte[] pattern, int from, int to) {
    int last = to - pattern.length;
    for (int i = from; i <= last; i++) {
      if (buffer[i] == '"'
          && Arrays.equals(buffer, i, i + pattern.length, pattern, 0, pattern.length)) {
        return i;
      }
    }
    return -1;
  }

  private long number(int from, int to) {
    if (from >= to || to - from > 18) {
      return BAD_NUMBER;
    }
    long value = 0;
    for (int i = from; i < to; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        return BAD_NUMBER;
      }
      value = value * 10 + digit;
    }
    return value;
  }

  private static byte[] join(byte[] first, byte[] second) {
    byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
