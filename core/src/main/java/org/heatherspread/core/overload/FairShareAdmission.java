package org.heatherspread.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Selects the requests to reject while a service is overloaded: those of low priority first, and
 * those of accounts above their fair share of the requests in progress before those of other
 * accounts.
 *
 * <p>Pressure is the ratio of the expected wait to the wait that the latency target allows. Up to
 * 1, all requests are admitted. Between 1 and the limit of the priority, only accounts below their
 * fair share are. Above the limit none is, which bounds the queueing time at the endpoints.
 * Thread-safe: all methods are mutually exclusive. Invariant: counts are never negative, and
 * accounts without requests in progress use no memory.
 */
public final class FairShareAdmission {
  private static final double BASE_PRESSURE_LIMIT = 1.5;
  private static final double PRESSURE_LIMIT_PER_PRIORITY = 0.5;
  private static final int MAX_PRIORITY = 4;

  private final Map<String, Integer> inProgressByAccount = new HashMap<>();
  private int totalInProgress;

  private FairShareAdmission() {}

  /** Creates an instance without requests in progress. */
  public static FairShareAdmission create() {
    return new FairShareAdmission();
  }

  /** Admits and counts a request, or rejects it. */
  public synchronized boolean tryAcquire(String account, int priority, double pressure) {
    int accountRequests = inProgressByAccount.getOrDefault(account, 0);
    if (pressure > 1
        && (pressure > pressureLimit(priority) || accountRequests >= fairShare(accountRequests))) {
      return false;
    }
    inProgressByAccount.put(account, accountRequests + 1);
    totalInProgress++;
    return true;
  }

  /** Ends an admitted request. */
  public synchronized void release(String account) {
    int accountRequests = inProgressByAccount.getOrDefault(account, 0);
    if (accountRequests == 0) {
      throw new IllegalStateException("more requests ended than were admitted");
    }
    totalInProgress--;
    if (accountRequests == 1) {
      inProgressByAccount.remove(account);
    } else {
      inProgressByAccount.put(account, accountRequests - 1);
    }
  }

  /** Returns the number of requests in progress of all accounts. */
  public synchronized int totalInProgress() {
    return totalInProgress;
  }

  private static double pressureLimit(int priority) {
    int capped = Math.max(0, Math.min(priority, MAX_PRIORITY));
    return BASE_PRESSURE_LIMIT + PRESSURE_LIMIT_PER_PRIORITY * capped;
  }

  /** Returns an equal share among the accounts with requests in progress and one more account. */
  private double fairShare(int accountRequests) {
    int accounts = inProgressByAccount.size() + (accountRequests == 0 ? 1 : 0);
    return Math.max(1, (totalInProgress + 1.0) / (accounts + 1));
  }
}
