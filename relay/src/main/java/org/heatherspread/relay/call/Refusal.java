package org.heatherspread.relay.call;

import java.util.Locale;

/** Why the relay answers a request itself, and with which status. */
public enum Refusal {
  /** No configuration is known yet. */
  NOT_READY(503),
  /** No route for this host and path. */
  NO_ROUTE(404),
  /** No key, or a key of no client account. */
  UNKNOWN_KEY(401),
  /** The configuration may be too old to trust keys. */
  KEYS_TOO_OLD(503),
  /** The client account is over its limit. */
  ACCOUNT_LIMIT(429),
  /** The request crashed endpoints. */
  CRASHES_ENDPOINTS(503),
  /** No endpoint may take the request. */
  NO_ENDPOINT(503),
  /** Every endpoint that was asked refused before running. */
  REFUSED_BY_ENDPOINTS(503),
  /** No connection to an endpoint could be opened. */
  UNREACHABLE(503),
  /** The wait for an endpoint would be longer than the request has. */
  OVERLOADED(503),
  /** Time ran out before the request was sent to an endpoint. */
  EXPIRED_UNSENT(503),
  /** Time ran out while an endpoint had the request. */
  EXPIRED(504),
  /** The answer was lost, spoilt or broken off, and the request may have run. */
  ANSWER_LOST(502);

  private final int status;

  Refusal(int status) {
    this.status = status;
  }

  /** Returns the HTTP status; 429 and 503 promise that the request did not and will not run. */
  public int status() {
    return status;
  }

  /** Returns the name in logs and metrics, such as {@code answer-lost}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
