package org.heatherspread.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Spreads the returns of callers whom a limit refused.
 *
 * <p>The time until a limit admits the next request is short, whatever the number of callers that
 * wait for it. If all of them are told that time, as after a restart of all daemons, they return
 * together, all but a few are refused again, and their retries are used up before the limit could
 * have admitted them. Each caller is therefore told the time in which the limit admits what was
 * refused lately, or a random time if that is too long for it. Nothing is reserved for callers, as
 * they need not return.
 *
 * <p>Confined to one thread. Holds one entry for each limit that refused a request lately.
 */
public final class RetrySpread {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final MonotonicClock clock;
  private final RandomGenerator random;

  /** By limit, the time at which what was refused would all be admitted. */
  private final Map<String, Double> admittedByMillis = new HashMap<>();

  private RetrySpread(MonotonicClock clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /** Creates an instance that knows of no refusals. */
  public static RetrySpread create(MonotonicClock clock, RandomGenerator random) {
    return new RetrySpread(clock, random);
  }

  /**
   * Returns the time after which a refused caller should return.
   *
   * @param amount refused amount, in the unit of the limit
   * @param daemonCount number of daemons, which refuse about equal parts of the requests
   * @param readySeconds time until the limit admits a request, the shortest result
   * @param maxSeconds time within which the caller should return if it is longer than that
   */
  public double retryAfterSeconds(
      RateLimit limit, double amount, int daemonCount, double readySeconds, double maxSeconds) {
    double now = clock.millis();
    admittedByMillis.values().removeIf(millis -> millis <= now);
    double admittedBy = admittedByMillis.getOrDefault(limit.name(), now);
    double waitSeconds = (admittedBy - now) / MILLIS_PER_SECOND;
    double amountMillis = amount * daemonCount / limit.ratePerSecond() * MILLIS_PER_SECOND;
    double latest = now + Math.max(maxSeconds, readySeconds) * MILLIS_PER_SECOND;
    admittedByMillis.put(
        limit.name(), Math.max(admittedBy, Math.min(latest, admittedBy + amountMillis)));
    if (waitSeconds >= maxSeconds) {
      waitSeconds = maxSeconds * random.nextDouble();
    }
    return Math.max(readySeconds, waitSeconds);
  }
}
