package org.heatherspread.relay.caller;

/** Handles requests of callers. Called on the event loop of the server. */
@FunctionalInterface
public interface CallerRequestHandler {
  /** Handles a request; exactly one response must be written, on the same event loop. */
  void handle(CallerRequest request, ResponseWriter responseWriter);
}
