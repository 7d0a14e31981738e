package org.heatherspread.core.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Negotiates this daemon's share of one account's limits, such that the shares of all daemons
 * follow the demand and their sum stays within the limits.
 *
 * <p>A daemon shrinks to its max-min fair share at once. It grows only into capacity that no other
 * daemon holds, by one Nth of it, and only after each peer has reported since the last growth. A
 * report therefore justifies growth only once, and during a network partition, when reports stop,
 * shares do not grow. Invariant: the sum of the shares is at most the limits, provided that daemons
 * removed from the membership have stopped; a daemon that has not heard from all its peers yet adds
 * at most one Nth.
 *
 * <p>Not thread-safe.
 */
public final class ShareNegotiator {
  private ResourceAmounts share = ResourceAmounts.zero();
  private boolean heardAllPeers;
  private Map<String, Long> consumedRounds = Map.of();

  private ShareNegotiator() {}

  /** Creates a negotiator with a share of zero. */
  public static ShareNegotiator create() {
    return new ShareNegotiator();
  }

  /** Returns the current share. */
  public ResourceAmounts share() {
    return share;
  }

  /**
   * Computes and returns the new share.
   *
   * @param limits the account's limits
   * @param demand demand of this daemon's callers
   * @param peers other daemons that may be running, reachable or not
   * @param reports latest reports of these peers by daemon id
   * @param account name of the account in the reports
   */
  public ResourceAmounts negotiate(
      ResourceAmounts limits,
      ResourceAmounts demand,
      Collection<String> peers,
      Map<String, LimitUsageReport> reports,
      String account) {
    int daemons = peers.size() + 1;
    heardAllPeers |= reports.keySet().containsAll(peers);
    if (!heardAllPeers) {
      share = share.max(limits.times(1.0 / daemons)).min(limits);
      return share;
    }
    double[][] demands = new double[3][daemons];
    setDemand(demands, 0, demand);
    ResourceAmounts held = ResourceAmounts.zero();
    int next = 1;
    for (String peer : peers) {
      LimitUsageReport report = reports.get(peer);
      LimitUsage usage =
          report == null
              ? LimitUsage.none()
              : report.accounts().getOrDefault(account, LimitUsage.none());
      ResourceAmounts peerShare = report == null ? limits.times(1.0 / daemons) : usage.share();
      setDemand(demands, next++, usage.demand());
      held = held.plus(peerShare);
    }
    ResourceAmounts target = target(limits, demands);
    boolean mayGrow = allReportedSinceGrowth(peers, reports);
    ResourceAmounts free = limits.combine(held.plus(share), (l, h) -> Math.max(0, l - h));
    ResourceAmounts bound = mayGrow ? share.plus(free.times(1.0 / daemons)) : share;
    if (mayGrow) {
      consumedRounds = rounds(peers, reports);
    }
    share = target.min(bound).min(limits);
    return share;
  }

  private static void setDemand(double[][] demands, int daemon, ResourceAmounts amounts) {
    demands[0][daemon] = amounts.requests();
    demands[1][daemon] = amounts.tokens();
    demands[2][daemon] = amounts.concurrency();
  }

  private boolean allReportedSinceGrowth(
      Collection<String> peers, Map<String, LimitUsageReport> reports) {
    for (String peer : peers) {
      LimitUsageReport report = reports.get(peer);
      if (report == null || report.round() == consumedRounds.getOrDefault(peer, -1L)) {
        return false;
      }
    }
    return true;
  }

  private static Map<String, Long> rounds(
      Collection<String> peers, Map<String, LimitUsageReport> reports) {
    Map<String, Long> rounds = new HashMap<>();
    for (String peer : peers) {
      rounds.put(peer, reports.get(peer).round());
    }
    return rounds;
  }

  private static ResourceAmounts target(ResourceAmounts limits, double[][] demands) {
    return new ResourceAmounts(
        fairShare(limits.requests(), demands[0]),
        fairShare(limits.tokens(), demands[1]),
        fairShare(limits.concurrency(), demands[2]));
  }

  /** Returns the max-min fair share of the first daemon; unclaimed capacity is split evenly. */
  private static double fairShare(double limit, double[] demands) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double remaining = limit;
    for (int i = 0; i < sorted.length; i++) {
      double level = remaining / (sorted.length - i);
      if (sorted[i] >= level) {
        return Math.min(demands[0], level);
      }
      remaining -= sorted[i];
    }
    return demands[0] + remaining / demands.length;
  }
}
