package org.heatherspread.core.routing;

/**
 * One request that this daemon sent to an endpoint, from dispatch to completion. Its {@link
 * EndpointView} guards its state. Each event must be recorded at most once, in order.
 */
public final class Dispatch {
  final long sentAtMillis;
  final int uncachedTokens;
  final double expectedFirstTokenMillis;
  boolean reported;
  boolean prefilled;
  boolean ended;
  private final EndpointView view;

  Dispatch(
      EndpointView view, long sentAtMillis, int uncachedTokens, double expectedFirstTokenMillis) {
    this.view = view;
    this.sentAtMillis = sentAtMillis;
    this.uncachedTokens = uncachedTokens;
    this.expectedFirstTokenMillis = expectedFirstTokenMillis;
  }

  /** Returns the view of the endpoint that received the request. */
  public EndpointView endpoint() {
    return view;
  }

  /** Records the first token of the answer. */
  public void recordFirstToken(long nowMillis) {
    view.recordFirstToken(this, nowMillis);
  }

  /** Records the end of the request, whatever its outcome. */
  public void recordEnd(DispatchOutcome outcome, long nowMillis) {
    view.recordEnd(this, outcome, nowMillis);
  }
}
