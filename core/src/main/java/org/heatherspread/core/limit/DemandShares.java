package org.heatherspread.core.limit;

import java.util.Collection;

/**
 * Splits a limit that binds all daemons together: a part evenly, the rest by what callers ask of
 * each daemon.
 *
 * <p>Answers the load in which all daemons start again at once, or one account sends many times its
 * usual: every daemon computes the same split from the same reports, so that it holds at once and
 * adds up to the limit without rounds of growth. Daemons that have not reported for longer than
 * they trust keys admit nothing and need no part. Stateless.
 */
public final class DemandShares {
  /**
   * Part of a limit that is split evenly. Callers spread over the daemons, so that what is seen at
   * one of many is mostly chance; the rest follows daemons that are really asked more.
   */
  private static final double EVEN = 0.75;

  private DemandShares() {}

  /**
   * Returns one daemon's part of a limit.
   *
   * @param own demand as this daemon last reported it
   * @param others demand of each other daemon that may admit requests
   */
  public static double part(double limit, double own, Collection<Double> others) {
    int daemons = others.size() + 1;
    double total = own;
    for (double demand : others) {
      total += demand;
    }
    double even = limit / daemons;
    if (total <= 0) {
      return even;
    }
    return EVEN * even + (1 - EVEN) * limit * own / total;
  }
}
