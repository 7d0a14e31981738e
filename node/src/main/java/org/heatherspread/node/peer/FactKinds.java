package org.heatherspread.node.peer;

/** Names of the kinds of facts that daemons publish to each other. Stateless. */
public final class FactKinds {
  /** Shared prefixes of prompts that endpoints have cached. */
  public static final String CACHED_PREFIXES = "cached-prefixes";

  /** Evidence on what crashes endpoints. */
  public static final String CRASH_EVIDENCE = "crash-evidence";

  /** Limits that endpoints name in their responses. */
  public static final String ENDPOINT_LIMITS = "endpoint-limits";

  /** Endpoints that say in their responses that they are leaving. */
  public static final String LEAVING_ENDPOINTS = "leaving-endpoints";

  /** Incarnations of endpoints that have ended. */
  public static final String STOPPED_ENDPOINTS = "stopped-endpoints";

  /** Incarnations of endpoints that may have ended. */
  public static final String DOUBTFUL_ENDPOINTS = "doubtful-endpoints";

  /** Whether the daemon has lost the path to all endpoints. */
  public static final String ISOLATED = "isolated";

  /** Counts of requests and responses of a service that moves to another version. */
  public static final String ROLLOUT_COUNTS = "rollout-counts";

  /** States of moves of services to other versions, from the holder of the duty lease. */
  public static final String ROLLOUT_STATES = "rollout-states";

  /** Moves in which a daemon sends nothing to the new version for a while. */
  public static final String ROLLOUT_STOPS = "rollout-stops";

  private FactKinds() {}
}
