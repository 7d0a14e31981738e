package org.heatherspread.core.routing;

/**
 * One request that this daemon sent to an endpoint, from dispatch to its end. The view of the
 * endpoint guards its state; call each event at most once, in order.
 */
public final class Dispatch {
  final long atMillis;
  final int uncachedTokens;
  final double expectedFirstTokenMillis;
  boolean reported;
  boolean prefilled;
  boolean ended;
  private final EndpointView view;

  Dispatch(EndpointView view, long atMillis, int uncachedTokens, double expectedFirstTokenMillis) {
    this.view = view;
    this.atMillis = atMillis;
    this.uncachedTokens = uncachedTokens;
    this.expectedFirstTokenMillis = expectedFirstTokenMillis;
  }

  /** Returns the endpoint that the request went to. */
  public EndpointView endpoint() {
    return view;
  }

  /** Notes the first token of the answer. */
  public void recordFirstToken(long nowMillis) {
    view.recordFirstToken(this, nowMillis);
  }

  /** Notes the end of the request, in whatever way. */
  public void recordEnd(DispatchOutcome end, long nowMillis) {
    view.recordEnd(this, end, nowMillis);
  }
}
