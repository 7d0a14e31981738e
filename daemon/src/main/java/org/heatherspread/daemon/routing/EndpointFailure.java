package org.heatherspread.daemon.routing;

/** Reasons for which an attempt at an endpoint ended without a complete response. */
public enum EndpointFailure {
  /** The endpoint refused the request before executing it. */
  REFUSED,
  /** No connection to the endpoint could be established. */
  UNREACHABLE,
  /** The endpoint sent nothing within the timeout. */
  SILENT,
  /** The connection was lost while the endpoint executed the request. */
  BROKEN,
  /** The endpoint responded with an error. */
  ERROR,
  /** The endpoint is leaving and the request was moved to another one. */
  LEFT,
  /** The caller cancelled the request. */
  CANCELLED
}
