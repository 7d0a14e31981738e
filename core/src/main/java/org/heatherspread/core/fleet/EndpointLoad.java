package org.heatherspread.core.fleet;

/**
 * The load that one daemon puts on one endpoint. Immutable; stored as JSON under the names of its
 * components.
 *
 * @param running requests sent and not ended
 * @param promptTokens prompt tokens of these requests that are yet to be prefilled
 * @param outcomes recent responses; empty from daemons of earlier versions
 * @param demand recent work; empty from daemons of earlier versions
 * @param heldTokens tokens that the requests in progress hold in the endpoint's memory, with their
 *     expected answers; 0 from daemons of earlier versions
 */
public record EndpointLoad(
    int running, long promptTokens, RecentOutcomes outcomes, RecentDemand demand, long heldTokens) {
  /** No load. */
  public static final EndpointLoad NONE = new EndpointLoad(0, 0);

  /** Replaces the components that daemons of earlier versions do not report. */
  public EndpointLoad {
    outcomes = outcomes == null ? RecentOutcomes.NONE : outcomes;
    demand = demand == null ? RecentDemand.NONE : demand;
  }

  /** Creates a load without recent responses. */
  public EndpointLoad(int running, long promptTokens) {
    this(running, promptTokens, RecentOutcomes.NONE, RecentDemand.NONE, 0);
  }

  /** Returns the sum of two loads. */
  public EndpointLoad plus(EndpointLoad other) {
    return new EndpointLoad(
        running + other.running,
        promptTokens + other.promptTokens,
        outcomes.plus(other.outcomes),
        demand.plus(other.demand),
        heldTokens + other.heldTokens);
  }
}
