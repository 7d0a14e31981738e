package org.heatherspread.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides who is refused while a service is overloaded: requests of low priority first, and
 * accounts that hold more than their fair part of the requests in progress before those that hold
 * less.
 *
 * <p>Pressure is the expected wait over the wait that the latency target allows. Up to 1 everybody
 * is admitted. Between 1 and the bound of the priority only accounts below their fair part are, and
 * beyond the bound nobody, so that the queue at the endpoints is bounded by time. Safe for use by
 * any thread: all methods exclude each other. Invariant: counts are never negative, and accounts
 * without requests in progress take no memory.
 */
public final class FairShareAdmission {
  private static final double BASE_BOUND = 1.5;
  private static final double BOUND_PER_PRIORITY = 0.5;
  private static final int PRIORITIES = 4;

  private final Map<String, Integer> inProgress = new HashMap<>();
  private int totalInProgress;

  private FairShareAdmission() {}

  /** Creates a gate with nothing in progress. */
  public static FairShareAdmission create() {
    return new FairShareAdmission();
  }

  /** Admits a request, counting it, or refuses it. */
  public synchronized boolean tryAcquire(String account, int priority, double pressure) {
    int own = inProgress.getOrDefault(account, 0);
    if (pressure > 1 && (pressure > bound(priority) || own >= fairPart(own))) {
      return false;
    }
    inProgress.put(account, own + 1);
    totalInProgress++;
    return true;
  }

  /** Ends an admitted request. */
  public synchronized void release(String account) {
    int own = inProgress.getOrDefault(account, 0);
    if (own == 0) {
      throw new IllegalStateException("more requests ended than were admitted");
    }
    totalInProgress--;
    if (own == 1) {
      inProgress.remove(account);
    } else {
      inProgress.put(account, own - 1);
    }
  }

  /** Returns the requests in progress of all accounts. */
  public synchronized int totalInProgress() {
    return totalInProgress;
  }

  private static double bound(int priority) {
    int step = Math.max(0, Math.min(priority, PRIORITIES));
    return BASE_BOUND + BOUND_PER_PRIORITY * step;
  }

  /** An even part among the accounts in progress and one that is yet to come. */
  private double fairPart(int own) {
    int accounts = inProgress.size() + (own == 0 ? 1 : 0);
    return Math.max(1, (totalInProgress + 1.0) / (accounts + 1));
  }
}
