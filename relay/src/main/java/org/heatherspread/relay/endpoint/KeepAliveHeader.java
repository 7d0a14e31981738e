package org.heatherspread.relay.endpoint;

import java.util.concurrent.TimeUnit;

/** Reads the idle limit that a peer states. */
final class KeepAliveHeader {
  private static final String TIMEOUT = "timeout=";

  private KeepAliveHeader() {}

  /** Returns the limit in milliseconds, {@code Long.MAX_VALUE} where none is stated. */
  static long timeoutMillis(String header) {
    if (header == null) {
      return Long.MAX_VALUE;
    }
    for (String part : header.split(",")) {
      String field = part.trim();
      if (field.startsWith(TIMEOUT)) {
        return parseSeconds(field.substring(TIMEOUT.length()));
      }
    }
    return Long.MAX_VALUE;
  }

  private static long parseSeconds(String seconds) {
    try {
      return TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.trim()));
    } catch (NumberFormatException e) {
      // An unreadable limit must not keep a connection in use that the peer may close.
      return 0;
    }
  }
}
