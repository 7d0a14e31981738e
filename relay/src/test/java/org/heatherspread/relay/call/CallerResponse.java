package org.heatherspread.relay.call;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a caller received for a request. Immutable.
 *
 * @param whole whether the answer is not seen to be cut
 */
record CallerResponse(int status, Map<String, String> headers, String body, boolean whole) {
  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    return next < 0 ? null : line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  /** Reads an answer; returns null if the connection ends before or within its head. */
  static CallerResponse read(InputStream in, boolean isHead) throws IOException {
    String statusLine = line(in);
    if (statusLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    if (!statusLine.startsWith("HTTP/1.1 ")) {
      return new CallerResponse(200, headers, "not an answer: " + statusLine, true);
    }
    int status = Integer.parseInt(statusLine.substring(9, 12));
    if (status < 200) {
      return read(in, isHead);
    }
    if (isHead || status == 204) {
      return new CallerResponse(status, headers, "", true);
    }
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] body = in.readNBytes(length);
      return new CallerResponse(status, headers, text(body), body.length == length);
    }
    return readChunks(in, status, headers);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static CallerResponse readChunks(InputStream in, int status, Map<String, String> headers)
      throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      String size;
      byte[] chunk;
      try {
        size = line(in);
        if (size == null) {
          return new CallerResponse(status, headers, body.toString(), false);
        }
        chunk = in.readNBytes(Integer.parseInt(size, 16));
        line(in);
      } catch (SocketException e) {
        return new CallerResponse(status, headers, body.toString(), false);
      }
      if (chunk.length == 0) {
        return new CallerResponse(status, headers, body.toString(), true);
      }
      body.append(text(chunk));
    }
  }
}
