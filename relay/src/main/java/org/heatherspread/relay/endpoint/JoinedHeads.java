package org.heatherspread.relay.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects heads that were decoded from a part of one head and the whole of the next one, as they
 * arrive if an endpoint breaks a response off within its head and goes on with another response on
 * the same connection. The decoder accepts the second status line as the rest of a reason phrase or
 * of a header.
 */
final class JoinedHeads {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?!\\d)");

  private JoinedHeads() {}

  /** Returns whether a head contains a second status line. */
  static boolean isJoined(HttpResponse head) {
    HttpVersion version = head.protocolVersion();
    boolean knownVersion =
        version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
    if (!knownVersion || containsStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
