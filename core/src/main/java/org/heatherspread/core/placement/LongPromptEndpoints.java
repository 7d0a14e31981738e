package org.heatherspread.core.placement;

import java.util.Arrays;
import java.util.List;
import org.heatherspread.core.routing.RendezvousHash;

/**
 * The endpoints of one service that long prompts prefer and short ones avoid.
 *
 * <p>The prefill of a long prompt delays all other requests of its endpoint. Long prompts are
 * therefore concentrated on as many endpoints as their share of the recent work of all daemons
 * needs, those first in rendezvous order among the endpoints that accept requests. Daemons agree on
 * them up to differences of their views, and the next endpoint in the order replaces a lost one.
 * Without loads of other daemons, the share is that of the daemon's own requests. Confined to one
 * thread.
 */
public final class LongPromptEndpoints {
  /** Two chunks of prefill; shorter prompts delay others by little. */
  static final int LONG_PROMPT_TOKENS = 4_096;

  /** Interval at which the endpoints are selected again. */
  private static final long REFRESH_MILLIS = 50;

  /** Change of the needed number at which the number of endpoints changes, against oscillation. */
  private static final double HYSTERESIS = 0.75;

  /** Number of endpoints below which none is set apart. */
  private static final int MIN_ENDPOINTS = 3;

  private static final long ORDER_KEY = RendezvousHash.seed("long prompts");

  private long[] scores = new long[16];
  private int count;
  private long lowestScore = Long.MAX_VALUE;
  private long refreshedMillis = Long.MIN_VALUE / 2;

  private LongPromptEndpoints() {}

  /** Creates an empty selection. */
  public static LongPromptEndpoints create() {
    return new LongPromptEndpoints();
  }

  /** Returns whether a request has a long prompt. */
  static boolean isLong(Workload work) {
    return work.promptTokens() > LONG_PROMPT_TOKENS;
  }

  /** Returns the position of an endpoint in the order; the highest is the first. */
  static long score(String id) {
    return RendezvousHash.score(RendezvousHash.seed(id), ORDER_KEY);
  }

  /** Returns the number of endpoints that long prompts prefer, 0 if none is set apart. */
  public int count() {
    return count;
  }

  /** Returns whether long prompts prefer an endpoint. */
  boolean contains(TrackedEndpoint endpoint) {
    return endpoint.longPromptScore() >= lowestScore;
  }

  /** Selects the endpoints again if some time has passed. */
  void refresh(List<TrackedEndpoint> endpoints, long nowMillis) {
    if (nowMillis - refreshedMillis < REFRESH_MILLIS) {
      return;
    }
    refreshedMillis = nowMillis;
    if (scores.length < endpoints.size()) {
      scores = new long[2 * endpoints.size()];
    }
    int available = 0;
    double total = 0;
    double ofLong = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      total += endpoint.recentDemand(nowMillis);
      ofLong += endpoint.recentLongDemand(nowMillis);
      if (endpoint.acceptsRequests(nowMillis) && endpoint.health().admits(nowMillis)) {
        scores[available] = endpoint.longPromptScore();
        available++;
      }
    }
    boolean mixed = ofLong >= 1 && total - ofLong >= 1 && available >= MIN_ENDPOINTS;
    updateCount(mixed ? ofLong / total * available : 0, available);
    Arrays.sort(scores, 0, available);
    lowestScore = count == 0 ? Long.MAX_VALUE : scores[available - count];
  }

  private void updateCount(double needed, int available) {
    if (needed == 0) {
      count = 0;
      return;
    }
    if (count == 0 || Math.abs(needed + 0.5 - count) > HYSTERESIS) {
      count = (int) Math.round(needed + 0.5);
    }
    count = Math.max(1, Math.min(available - 1, count));
  }
}
