package org.heatherspread.daemon.plain;

import org.heatherspread.daemon.routing.EndpointFailure;

/**
 * Thrown when an attempt at an endpoint yields no response. Immutable; has no stack trace.
 *
 * <p>Invariant: only the reasons {@code REFUSED} and {@code UNREACHABLE} mean that the call did not
 * run.
 */
final class DispatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final EndpointFailure reason;

  DispatchException(EndpointFailure reason, Throwable cause) {
    super(reason.name(), cause, false, false);
    this.reason = reason;
  }

  EndpointFailure reason() {
    return reason;
  }

  boolean isNotRun() {
    return reason == EndpointFailure.REFUSED || reason == EndpointFailure.UNREACHABLE;
  }
}
