package org.heatherspread.relay.call;

import java.util.Locale;

/** Reasons for which the relay refuses a request or reports its failure, with their statuses. */
public enum Refusal {
  /** No configuration has been received yet. */
  NOT_READY(503),
  /** This daemon stops, and the request may not end before it does. */
  STOPPING(503),
  /** The body does not fit into the memory that is left for bodies. */
  BUFFERS_FULL(503),
  /** No route matches the host and path. */
  NO_ROUTE(404),
  /** The event after which the caller resumes a stream is not named by a number. */
  INVALID_EVENT_ID(400),
  /** The key is missing or belongs to no client account. */
  UNKNOWN_KEY(401),
  /** The configuration may be too old to validate keys. */
  KEYS_TOO_OLD(503),
  /** The client account is over its limit. */
  ACCOUNT_LIMIT(429),
  /** The request repeatedly crashed endpoints. */
  CRASHES_ENDPOINTS(503),
  /** This daemon has lost the path to all endpoints, which others may have. */
  ISOLATED(503),
  /** No endpoint is available for the request. */
  NO_ENDPOINT(503),
  /** All endpoints that were tried refused the request before execution. */
  REFUSED_BY_ENDPOINTS(503),
  /** All endpoints that accept requests have reached the limits that they name. */
  ENDPOINT_LIMITS(503),
  /** All endpoints have asked for a rest. */
  ENDPOINTS_REST(503),
  /** All endpoints are full, and would fall over if they had to reject more requests. */
  ENDPOINTS_FULL(503),
  /** It is not known at which version the stream to be resumed began. */
  STREAM_ORIGIN_UNKNOWN(503),
  /** No endpoint of the version at which the stream began accepts requests. */
  STREAM_VERSION_GONE(503),
  /** No connection to an endpoint could be opened. */
  UNREACHABLE(503),
  /** The expected latency is too far above the target of the route. */
  OVERLOADED(503),
  /** The deadline passed before an endpoint could have executed the request. */
  EXPIRED_UNSENT(503),
  /** The deadline passed while an endpoint may have been executing the request. */
  EXPIRED(504),
  /** The response was lost, invalid or truncated, and the request may have been executed. */
  ANSWER_LOST(502);

  private final int status;

  Refusal(int status) {
    this.status = status;
  }

  /** Returns whether a status promises callers that the request was not executed. */
  static boolean promisesNoExecution(int status) {
    return status == 429 || status == 503 || status == 408;
  }

  /** Returns the HTTP status; 429 and 503 promise that the request is not executed. */
  public int status() {
    return status;
  }

  /** Returns whether another daemon may serve the request now. */
  boolean concernsThisDaemonOnly() {
    return switch (this) {
      case NOT_READY, STOPPING, BUFFERS_FULL, KEYS_TOO_OLD, ISOLATED, UNREACHABLE -> true;
      default -> false;
    };
  }

  /** Returns the name in responses, logs and metrics, such as {@code answer-lost}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
