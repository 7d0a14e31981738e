package org.heatherspread.relay.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects response heads that were joined from two responses. If an endpoint stops within a head
 * and then writes another response, the decoder takes the status line of the second one for the
 * rest of a reason phrase or of a header value: the status is that of the first response, the
 * remaining headers and the body those of the second. Stateless.
 */
final class JoinedHeads {
  private static final String PROTOCOL = "HTTP/";

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}");

  private JoinedHeads() {}

  /** Returns whether a head has the status line of another response within it. */
  static boolean isJoined(HttpResponse head) {
    if (containsStatusLine(head.status().reasonPhrase())) {
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
    int start = text.indexOf(PROTOCOL);
    return start >= 0 && STATUS_LINE.matcher(text).find(start);
  }
}
