package org.heatherspread.relay.caller;

/** Takes requests of callers. */
@FunctionalInterface
public interface CallerRequestHandler {
  /** Takes a request; the answer must be given, once, by the same event loop. */
  void handle(CallerRequest request, ResponseWriter answer);
}
