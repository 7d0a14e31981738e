package org.heatherspread.core.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which part of one account's limits this daemon holds, so that the parts of all daemons
 * follow the demand and never add up to more than the limits.
 *
 * <p>Each daemon takes itself back to its max-min fair part at once, but grows only into what the
 * others are seen to hold free, by an equal part of it, and only when each of them has reported
 * since the last growth. Reports are therefore never used twice, and in a partition, where reports
 * stop, shares stay as they are. Invariant: the shares add up to at most the limits as long as a
 * daemon that left the membership has stopped, and a daemon that never heard its peers adds at most
 * one part in N.
 *
 * <p>Not safe for use by several threads.
 */
public final class ShareNegotiator {
  private ResourceAmounts share = ResourceAmounts.zero();
  private boolean heardAll;
  private Map<String, Long> usedRounds = Map.of();

  private ShareNegotiator() {}

  /** Creates the negotiator of a daemon that holds nothing. */
  public static ShareNegotiator create() {
    return new ShareNegotiator();
  }

  /** Returns what this daemon holds. */
  public ResourceAmounts share() {
    return share;
  }

  /**
   * Decides anew.
   *
   * @param limits the account's limits
   * @param demand what callers ask of this daemon
   * @param peers other daemons that may be running, whether or not they can be reached
   * @param reports latest reports of these peers by daemon id
   * @param account whose usage to read in the reports
   */
  public ResourceAmounts negotiate(
      ResourceAmounts limits,
      ResourceAmounts demand,
      Collection<String> peers,
      Map<String, LimitUsageReport> reports,
      String account) {
    int daemons = peers.size() + 1;
    heardAll |= reports.keySet().containsAll(peers);
    if (!heardAll) {
      share = share.max(limits.times(1.0 / daemons)).min(limits);
      return share;
    }
    double[][] demands = new double[3][daemons];
    set(demands, 0, demand);
    ResourceAmounts held = ResourceAmounts.zero();
    int next = 1;
    for (String peer : peers) {
      LimitUsageReport report = reports.get(peer);
      LimitUsage usage =
          report == null
              ? LimitUsage.none()
              : report.accounts().getOrDefault(account, LimitUsage.none());
      ResourceAmounts reserved = report == null ? limits.times(1.0 / daemons) : usage.share();
      set(demands, next++, usage.demand());
      held = held.plus(reserved);
    }
    ResourceAmounts target = target(limits, demands);
    boolean mayGrow = allReportedAgain(peers, reports);
    ResourceAmounts free = limits.combine(held.plus(share), (l, h) -> Math.max(0, l - h));
    ResourceAmounts bound = mayGrow ? share.plus(free.times(1.0 / daemons)) : share;
    if (mayGrow) {
      usedRounds = rounds(peers, reports);
    }
    share = target.min(bound).min(limits);
    return share;
  }

  private static void set(double[][] demands, int daemon, ResourceAmounts amounts) {
    demands[0][daemon] = amounts.requests();
    demands[1][daemon] = amounts.tokens();
    demands[2][daemon] = amounts.concurrency();
  }

  private boolean allReportedAgain(
      Collection<String> peers, Map<String, LimitUsageReport> reports) {
    for (String peer : peers) {
      LimitUsageReport report = reports.get(peer);
      if (report == null || report.round() == usedRounds.getOrDefault(peer, -1L)) {
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
        fairPart(limits.requests(), demands[0]),
        fairPart(limits.tokens(), demands[1]),
        fairPart(limits.concurrency(), demands[2]));
  }

  /** Max-min fair part of the first daemon; what nobody asks for is split evenly. */
  private static double fairPart(double limit, double[] demands) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = limit;
    for (int i = 0; i < sorted.length; i++) {
      double level = left / (sorted.length - i);
      if (sorted[i] >= level) {
        return Math.min(demands[0], level);
      }
      left -= sorted[i];
    }
    return demands[0] + left / demands.length;
  }
}
