package org.heatherspread.daemon.routing;

/** Why an endpoint did not finish what was sent to it. */
public enum EndpointFailure {
  /** It refused before running. */
  REFUSED,
  /** It could not be connected to. */
  UNREACHABLE,
  /** It went silent. */
  SILENT,
  /** The connection broke while it was running the request. */
  BROKEN,
  /** It answered with an error of its own. */
  ERROR,
  /** It is leaving and the work moved away. */
  LEFT,
  /** The caller cancelled. */
  CANCELLED
}
