package org.heatherspread.core.placement;

import org.heatherspread.core.fleet.RecentDemand;

/**
 * The recent work of all daemons at one endpoint, in total and of long prompts. Confined to one
 * thread.
 */
final class EndpointDemand {
  /** Time constant of the exponential decay, so that the demand is followed within seconds. */
  private static final double DECAY_MILLIS = 2_000;

  /** Prompt tokens whose prefill takes an engine about as long as one answer token. */
  private static final int TOKENS_PER_ANSWER_TOKEN = 16;

  private double tokens;
  private double longTokens;
  private long decayedMillis;
  private RecentDemand peers = RecentDemand.NONE;
  private long peersMillis;

  private EndpointDemand() {}

  /** Creates a demand of 0. */
  static EndpointDemand create() {
    return new EndpointDemand();
  }

  /** Records a request that was sent. */
  void recordSent(Workload work, int uncachedTokens, long nowMillis) {
    decay(nowMillis);
    double added = uncachedTokens + (double) TOKENS_PER_ANSWER_TOKEN * work.answerTokens();
    tokens += added;
    longTokens += LongPromptEndpoints.isLong(work) ? added : 0;
  }

  /** Replaces the demand of other daemons. */
  void updatePeers(RecentDemand demand, long nowMillis) {
    peers = demand;
    peersMillis = nowMillis;
  }

  /** Returns the demand of this daemon. */
  RecentDemand own(long nowMillis) {
    decay(nowMillis);
    return tokens < 1 ? RecentDemand.NONE : new RecentDemand((long) tokens, (long) longTokens);
  }

  /** Returns the demand of all daemons. */
  double total(long nowMillis) {
    decay(nowMillis);
    return tokens + keptShare(nowMillis, peersMillis) * peers.tokens();
  }

  /** Returns the demand of long prompts of all daemons. */
  double totalLong(long nowMillis) {
    decay(nowMillis);
    return longTokens + keptShare(nowMillis, peersMillis) * peers.longTokens();
  }

  private void decay(long nowMillis) {
    double kept = keptShare(nowMillis, decayedMillis);
    tokens *= kept;
    longTokens *= kept;
    decayedMillis = nowMillis;
  }

  private static double keptShare(long nowMillis, long sinceMillis) {
    return Math.exp(-(nowMillis - sinceMillis) / DECAY_MILLIS);
  }
}
