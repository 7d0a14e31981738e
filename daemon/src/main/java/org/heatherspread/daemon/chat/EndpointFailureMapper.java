package org.heatherspread.daemon.chat;

import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.daemon.routing.EndpointFailure;

/** Maps retry reasons to the failures that are reported to the endpoint selector. Stateless. */
final class EndpointFailureMapper {
  private EndpointFailureMapper() {}

  static EndpointFailure toEndpointFailure(RetryReason reason) {
    return switch (reason) {
      case REFUSED -> EndpointFailure.REFUSED;
      case UNREACHABLE -> EndpointFailure.UNREACHABLE;
      case SILENT, STALLED -> EndpointFailure.SILENT;
      case CONNECTION_LOST, NOT_HELD, FRAME_GAP -> EndpointFailure.BROKEN;
      case ENDPOINT_ERROR -> EndpointFailure.ERROR;
      case ENDPOINT_LEAVING, DAEMON_LEFT -> EndpointFailure.LEFT;
    };
  }
}
