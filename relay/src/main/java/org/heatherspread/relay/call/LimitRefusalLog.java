package org.heatherspread.relay.call;

import java.util.HashMap;
import java.util.Map;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.SpendingDecision;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs which requests limits refuse, and for whose sake. Writes at most one line per second for
 * each limit, urgency and cause, with the number of refusals since the previous one, as a hot
 * account has hundreds of them per second. Refusals of the last second of a burst are logged with
 * the next one.
 *
 * <p>Confined to one thread. Holds an entry for each combination that occurred, of which there are
 * at most {@value #MAX_ENTRIES}.
 */
public final class LimitRefusalLog {
  private static final Logger log = LoggerFactory.getLogger(LimitRefusalLog.class);
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int MAX_ENTRIES = 1_000;

  private final MonotonicClock clock;
  private final Map<Key, Entry> entries = new HashMap<>();

  private LimitRefusalLog(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Creates a log without entries. */
  public static LimitRefusalLog create(MonotonicClock clock) {
    return new LimitRefusalLog(clock);
  }

  /** Returns a log that records nothing. */
  public static LimitRefusalLog none() {
    return new LimitRefusalLog(null);
  }

  /** Records a decision; admitted requests are ignored. */
  void record(String limit, LimitRequest request, SpendingDecision decision) {
    if (clock == null || decision.admitted()) {
      return;
    }
    Key key =
        new Key(
            limit, request.urgency().orElse(-1), decision.cause(), decision.heldFor().orElse(-1));
    long now = clock.millis();
    if (entries.size() >= MAX_ENTRIES && !entries.containsKey(key)) {
      entries.values().removeIf(entry -> now >= entry.logAgainMillis && entry.requests == 0);
      if (entries.size() >= MAX_ENTRIES) {
        return;
      }
    }
    Entry entry = entries.computeIfAbsent(key, each -> new Entry());
    entry.requests++;
    entry.tokens += request.amount();
    entry.claims += decision.claimed() ? 1 : 0;
    if (now < entry.logAgainMillis) {
      return;
    }
    log.atInfo()
        .addKeyValue("account", limit)
        .addKeyValue("urgency", key.urgency)
        .addKeyValue("cause", key.cause.name().toLowerCase(java.util.Locale.ROOT))
        .addKeyValue("held_for", key.heldFor)
        .addKeyValue("requests", entry.requests)
        .addKeyValue("tokens", Math.round(entry.tokens))
        .addKeyValue("claims", entry.claims)
        .log("account limit refused requests");
    entry.requests = 0;
    entry.tokens = 0;
    entry.claims = 0;
    entry.logAgainMillis = now + INTERVAL_MILLIS;
  }

  private record Key(String limit, int urgency, SpendingDecision.Cause cause, int heldFor) {}

  /** Refusals since the last line. */
  private static final class Entry {
    private long requests;
    private double tokens;
    private long claims;
    private long logAgainMillis = Long.MIN_VALUE;
  }
}
