package org.heatherspread.core.error;

import static org.heatherspread.core.error.Execution.NOT_RUN;
import static org.heatherspread.core.error.Execution.RAN;
import static org.heatherspread.core.error.Execution.UNKNOWN;
import static org.heatherspread.core.error.Retry.AFTER_DELAY;
import static org.heatherspread.core.error.Retry.ASK_OUTCOME;
import static org.heatherspread.core.error.Retry.ELSEWHERE;
import static org.heatherspread.core.error.Retry.NEVER;

import java.util.Locale;

/**
 * Kinds of errors that heatherspread returns to callers. Each kind determines the HTTP status, what
 * is known of the execution of the request, and how the caller should proceed.
 *
 * <p>The list is closed. Immutable and thread-safe. Error responses use the problem format of RFC
 * 9457.
 */
public enum ErrorKind {
  /** The body is not JSON, or a field has the wrong type or range. */
  MALFORMED_REQUEST(400, NOT_RUN, NEVER, "Malformed request"),
  /** The key is missing, or belongs to no client account or operator. */
  UNAUTHENTICATED(401, NOT_RUN, NEVER, "Unknown or missing key"),
  /** The key is known but not authorized for the operation. */
  FORBIDDEN(403, NOT_RUN, NEVER, "Not allowed for this key"),
  /** The path, request id or resource does not exist or is not visible to the account. */
  NOT_FOUND(404, NOT_RUN, NEVER, "Not found"),
  /** The model or adapter is not part of the confirmed configuration. */
  UNKNOWN_MODEL(404, NOT_RUN, NEVER, "Unknown model"),
  /** The plain service is not part of the confirmed configuration. */
  UNKNOWN_SERVICE(404, NOT_RUN, NEVER, "Unknown service"),
  /** The path does not support the method. */
  METHOD_NOT_ALLOWED(405, NOT_RUN, NEVER, "Method not allowed"),
  /** The plan conflicts with a change that was confirmed after its base version. */
  PLAN_CONFLICT(409, NOT_RUN, NEVER, "Plan conflicts with a newer configuration"),
  /** The plan expired before it was confirmed. */
  PLAN_EXPIRED(409, NOT_RUN, NEVER, "Plan has expired"),
  /** The idempotency key was used before with another request body. */
  KEY_REUSED(422, NOT_RUN, NEVER, "Idempotency key used with another request"),
  /** A request with the same idempotency key is still in progress. */
  IN_PROGRESS(409, UNKNOWN, ASK_OUTCOME, "Request with this key is in progress"),
  /** The execution permit is forged, expired, already used, or issued to another account. */
  PERMIT_REJECTED(409, NOT_RUN, ELSEWHERE, "Execution permit rejected"),
  /** The record of the request was closed before dispatch. */
  REQUEST_CLOSED(409, NOT_RUN, NEVER, "Request was closed before it ran"),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE(413, NOT_RUN, NEVER, "Body too large"),
  /** The prompt and answer do not fit the model's context. */
  CONTEXT_TOO_LONG(422, NOT_RUN, NEVER, "Context too long"),
  /** The request has crashed endpoints and is no longer run. */
  POISONED(422, NOT_RUN, NEVER, "Request crashed endpoints and is refused"),
  /** The client account exceeds its rate, token or concurrency limit. */
  ACCOUNT_LIMIT(429, NOT_RUN, AFTER_DELAY, "Client account over its limit"),
  /** The deadline cannot be met, so the request is rejected early. */
  DEADLINE_UNREACHABLE(503, NOT_RUN, AFTER_DELAY, "Deadline cannot be met"),
  /** The queue is full, or the request was displaced by one of higher priority. */
  OVERLOADED(503, NOT_RUN, AFTER_DELAY, "Overloaded"),
  /** No live endpoint serves this model or service. */
  NO_ENDPOINT(503, NOT_RUN, AFTER_DELAY, "No endpoint available"),
  /** The retry budget of the service is exhausted, and the request has not run. */
  RETRY_BUDGET_SPENT(503, NOT_RUN, AFTER_DELAY, "Retry budget spent"),
  /** The daemon is shutting down and accepts no new work. */
  DAEMON_LEAVING(503, NOT_RUN, ELSEWHERE, "Daemon is leaving"),
  /** The daemon has no configuration, or one that may be stale, and accepts no new work. */
  NOT_READY(503, NOT_RUN, ELSEWHERE, "Daemon is not ready"),
  /** The operation needs the table service, which cannot be reached. */
  STORE_UNAVAILABLE(503, NOT_RUN, AFTER_DELAY, "Table service unavailable"),
  /** A write to the table service may or may not have taken effect. */
  STORE_OUTCOME_UNKNOWN(503, UNKNOWN, ASK_OUTCOME, "Table service outcome unknown"),
  /** The witness needed for a request that must not be repeated cannot be reached. */
  WITNESS_UNAVAILABLE(503, NOT_RUN, ELSEWHERE, "Witness unavailable"),
  /** The daemons that store the record of the request do not respond; it may still run. */
  RECORD_UNREACHABLE(503, UNKNOWN, ASK_OUTCOME, "Keepers of the record cannot be reached"),
  /** A request that must not be repeated was dispatched, but no response arrived. */
  OUTCOME_UNKNOWN(502, UNKNOWN, ASK_OUTCOME, "Outcome unknown"),
  /** The endpoint responded with an error. */
  ENDPOINT_ERROR(502, RAN, NEVER, "Endpoint answered with an error"),
  /** Endpoints crashed while they ran the request, so it is not retried. */
  ENDPOINTS_CRASHED(502, UNKNOWN, NEVER, "Request crashed the endpoints that ran it"),
  /** The stream was interrupted and could not be resumed. */
  STREAM_CUT(502, UNKNOWN, ELSEWHERE, "Stream cut"),
  /** The deadline passed while the request was running. */
  DEADLINE_EXCEEDED(504, UNKNOWN, NEVER, "Deadline exceeded"),
  /** The caller cancelled the request. */
  CANCELLED(499, UNKNOWN, NEVER, "Cancelled by the caller"),
  /** An internal error of heatherspread. */
  INTERNAL(500, UNKNOWN, ASK_OUTCOME, "Internal error");

  private final int status;
  private final Execution execution;
  private final Retry retry;
  private final String title;

  ErrorKind(int status, Execution execution, Retry retry, String title) {
    this.status = status;
    this.execution = execution;
    this.retry = retry;
    this.title = title;
  }

  /** Returns the HTTP status code of the response. */
  public int status() {
    return status;
  }

  /** Returns what is known of the execution, unless the failed request states otherwise. */
  public Execution execution() {
    return execution;
  }

  /** Returns how the caller should proceed. */
  public Retry retry() {
    return retry;
  }

  /** Returns the short human-readable summary of the kind. */
  public String title() {
    return title;
  }

  /** Returns the name in responses, logs and metric tags, such as {@code unknown-model}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
