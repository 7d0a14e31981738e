package org.heatherspread.relay.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;

/**
 * Headers of requests that one daemon forwards to another one, and of the responses to them. Only
 * daemons send them; they are removed from requests of callers. Stateless.
 */
public final class ForwardedRequests {
  /** Name of the daemon that forwards the request after it has admitted it. */
  static final String FORWARDED_BY = "Forwarded-By";

  /** Maximum number of endpoints to which the request may still be sent. */
  static final String REMAINING_ATTEMPTS = "Forwarded-Attempts";

  /**
   * Tells that a response is the outcome of the request. Without it the request was not executed if
   * the status is that of a decline: the daemon cannot serve it but others may, or it is of a
   * version that does not know forwarding.
   */
  static final String ACCEPTED = "Forward-Accepted";

  /** Statuses with which daemons decline; earlier versions do not have the path (404). */
  private static final Set<Integer> DECLINES = Set.of(400, 404, 408, 413, 431, 503);

  private ForwardedRequests() {}

  /** Returns whether a request comes from another daemon. */
  public static boolean isForwarded(HttpHeaders headers) {
    return headers.contains(FORWARDED_BY);
  }

  /** Returns whether a response without {@link #ACCEPTED} tells that nothing was executed. */
  static boolean isDecline(int status) {
    return DECLINES.contains(status);
  }

  /** Returns the number of endpoints to which a forwarded request may be sent, at least 1. */
  static int remainingAttempts(HttpHeaders headers, int maxAttempts) {
    try {
      int remaining =
          Integer.parseInt(Optional.ofNullable(headers.get(REMAINING_ATTEMPTS)).orElse("1").trim());
      return Math.max(1, Math.min(remaining, maxAttempts));
    } catch (NumberFormatException e) {
      // One attempt exceeds no limit.
      return 1;
    }
  }
}
