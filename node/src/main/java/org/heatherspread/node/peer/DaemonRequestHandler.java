package org.heatherspread.node.peer;

import org.heatherspread.relay.call.ForwardedRequests;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.CallerRequestHandler;
import org.heatherspread.relay.caller.ResponseWriter;

/**
 * Handles all requests of other daemons: those of callers that they forward, and their own.
 * Confined to the event loop.
 */
public final class DaemonRequestHandler implements CallerRequestHandler {
  private final CallerRequestHandler peers;
  private final CallerRequestHandler forwarded;

  private DaemonRequestHandler(CallerRequestHandler peers, CallerRequestHandler forwarded) {
    this.peers = peers;
    this.forwarded = forwarded;
  }

  /**
   * Creates a handler.
   *
   * @param peers handles what other daemons ask for themselves
   * @param forwarded handles requests of callers
   */
  public static DaemonRequestHandler create(
      CallerRequestHandler peers, CallerRequestHandler forwarded) {
    return new DaemonRequestHandler(peers, forwarded);
  }

  private CallerRequestHandler select(CallerRequest request) {
    return ForwardedRequests.isForwarded(request.headers()) ? forwarded : peers;
  }

  @Override
  public void handle(CallerRequest request, ResponseWriter responseWriter) {
    select(request).handle(request, responseWriter);
  }

  @Override
  public void refuseBody(CallerRequest head, ResponseWriter responseWriter) {
    select(head).refuseBody(head, responseWriter);
  }
}
