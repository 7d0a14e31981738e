package org.heatherspread.relay.endpoint;

import java.util.concurrent.TimeUnit;

/** Parses the {@code timeout} parameter of the {@code Keep-Alive} header. */
final class KeepAliveHeader {
  private static final String TIMEOUT = "timeout=";

  private KeepAliveHeader() {}

  /** Returns the idle timeout in milliseconds, {@code Long.MAX_VALUE} if it is absent. */
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
      // Prevents the reuse of a connection that the peer may close at any time.
      return 0;
    }
  }
}
