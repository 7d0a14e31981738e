package org.heatherspread.relay.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

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
   * Tells that a response is the outcome of the request. Without it the request was not executed:
   * the daemon cannot serve it but others may, or it is of a version that does not know forwarding.
   */
  static final String ACCEPTED = "Forward-Accepted";

  private ForwardedRequests() {}

  /** Returns whether a request comes from another daemon. */
  public static boolean isForwarded(HttpHeaders headers) {
    return headers.contains(FORWARDED_BY);
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
