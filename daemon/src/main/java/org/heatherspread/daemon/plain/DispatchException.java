package org.heatherspread.daemon.plain;

import org.heatherspread.daemon.routing.EndpointFailure;

/**
 * One attempt at an endpoint that gave no answer. Immutable; carries no stack trace.
 *
 * <p>Invariant: {@code REFUSED} and {@code UNREACHABLE} are the only reasons that say that the call
 * did not run.
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
