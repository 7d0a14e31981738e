package org.heatherspread.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The limits that endpoints name in their responses, as observed by this and other daemons. Of two
 * observations of an incarnation the newer one holds; a later incarnation replaces an earlier one.
 *
 * <p>Invariant: a limit ends only with a response without one to a request that was sent after the
 * limit was last named, since responses on different connections may overtake each other. Confined
 * to one thread.
 */
public final class EndpointLimitTable {
  /**
   * Lowest rate that is applied. Without any request, the end of a limit of zero would never be
   * observed.
   */
  private static final double MIN_RATE_PER_SECOND = 0.25;

  /** Time for which the end of a limit is kept, longer than observations are under way. */
  private static final long ENDED_RETENTION_MILLIS = 10_000;

  /** Time since its last observation after which the limit of an unknown endpoint is dropped. */
  private static final long UNKNOWN_RETENTION_MILLIS = 30_000;

  /** Age up to which observations are repeated to other daemons. */
  private static final long REPEATED_AGE_MILLIS = 10_000;

  private final MonotonicClock clock;
  private final int maxReported;
  private final Map<String, Entry> entries = new HashMap<>();

  private EndpointLimitTable(MonotonicClock clock, int maxReported) {
    this.clock = clock;
    this.maxReported = maxReported;
  }

  /**
   * Creates an empty table.
   *
   * @param maxReported maximum number of observations in a report
   */
  public static EndpointLimitTable create(MonotonicClock clock, int maxReported) {
    return new EndpointLimitTable(clock, maxReported);
  }

  /**
   * Records a response of an endpoint to this daemon.
   *
   * @param ratePerSecond limit that the response names, empty if it names none
   * @param sentMillis time at which the request was sent, on the monotonic clock
   * @return whether the limit changed
   */
  public boolean recordResponse(
      String endpoint, long startedAtMillis, OptionalDouble ratePerSecond, long sentMillis) {
    Entry entry = entries.get(endpoint);
    boolean sameIncarnation = entry != null && entry.startedAtMillis == startedAtMillis;
    if (entry != null && entry.startedAtMillis > startedAtMillis) {
      return false;
    }
    if (ratePerSecond.isEmpty()) {
      boolean ends = sameIncarnation && entry.isLimited() && sentMillis > entry.observedMillis;
      if (ends) {
        entry.update(LimitObservation.NONE, clock.millis(), true);
      }
      return ends;
    }
    if (!sameIncarnation) {
      entry = new Entry(endpoint, startedAtMillis);
      entries.put(endpoint, entry);
    }
    return entry.update(ratePerSecond.getAsDouble(), clock.millis(), true);
  }

  /**
   * Merges the observations of another daemon.
   *
   * @param delayMillis time for which the observations were under way
   * @return the endpoints whose limits changed
   */
  public List<String> merge(Collection<LimitObservation> observations, long delayMillis) {
    List<String> changed = new ArrayList<>();
    for (LimitObservation observation : observations) {
      long observedMillis = clock.millis() - observation.ageMillis() - delayMillis;
      if (merge(observation, observedMillis)) {
        changed.add(observation.endpoint());
      }
    }
    return changed;
  }

  private boolean merge(LimitObservation observation, long observedMillis) {
    Entry entry = entries.get(observation.endpoint());
    boolean known = entry != null && entry.startedAtMillis >= observation.startedAtMillis();
    if (known) {
      boolean newer =
          entry.startedAtMillis == observation.startedAtMillis()
              && observedMillis > entry.observedMillis;
      return newer && entry.update(observation.ratePerSecond(), observedMillis, false);
    }
    Entry added = new Entry(observation.endpoint(), observation.startedAtMillis());
    entries.put(observation.endpoint(), added);
    return added.update(observation.ratePerSecond(), observedMillis, false);
  }

  /**
   * Adds a limit that another daemon knows, unless something is known about this or a later
   * incarnation of the endpoint.
   *
   * @return whether it was added
   */
  public boolean addIfUnknown(EndpointLimit limit) {
    Entry entry = entries.get(limit.endpoint());
    boolean known = entry != null && entry.startedAtMillis >= limit.startedAtMillis();
    LimitObservation observation =
        new LimitObservation(limit.endpoint(), limit.startedAtMillis(), limit.ratePerSecond(), 0);
    return !known && merge(observation, clock.millis());
  }

  /** Returns the limit of an incarnation of an endpoint, empty if it has none. */
  public Optional<EndpointLimit> limit(String endpoint, long startedAtMillis) {
    Entry entry = entries.get(endpoint);
    boolean limited =
        entry != null && entry.startedAtMillis == startedAtMillis && entry.isLimited();
    return limited ? Optional.of(entry.limit()) : Optional.empty();
  }

  /** Returns all limits. */
  public Collection<EndpointLimit> limits() {
    List<EndpointLimit> limits = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.isLimited()) {
        limits.add(entry.limit());
      }
    }
    return limits;
  }

  /** Records that a limit admits nothing for some time. */
  public void close(EndpointLimit limit, long millis) {
    Entry entry = entries.get(limit.endpoint());
    if (entry != null && entry.startedAtMillis == limit.startedAtMillis()) {
      entry.closedUntilMillis = clock.millis() + millis;
    }
  }

  /** Returns the endpoints whose limits admit nothing now. */
  public Set<String> closedEndpoints() {
    Set<String> closed = new HashSet<>();
    long now = clock.millis();
    for (Entry entry : entries.values()) {
      if (entry.isLimited() && now < entry.closedUntilMillis) {
        closed.add(entry.endpoint);
      }
    }
    return closed;
  }

  /** Returns the time until the limit of an endpoint may admit a request again. */
  public long closedMillis(String endpoint) {
    Entry entry = entries.get(endpoint);
    return entry == null ? 0 : Math.max(0, entry.closedUntilMillis - clock.millis());
  }

  /** Returns what this daemon observed recently in responses, for the report to other daemons. */
  public List<LimitObservation> ownObservations() {
    List<LimitObservation> own = new ArrayList<>();
    long now = clock.millis();
    for (Entry entry : entries.values()) {
      long ageMillis = now - entry.observedMillis;
      if (entry.own && ageMillis <= REPEATED_AGE_MILLIS && own.size() < maxReported) {
        own.add(
            new LimitObservation(
                entry.endpoint, entry.startedAtMillis, entry.ratePerSecond, ageMillis));
      }
    }
    return own;
  }

  /** Drops what is known about endpoints that are no longer known, and limits that have ended. */
  public void removeExpired(Set<String> knownEndpoints) {
    long now = clock.millis();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean known = entry.isLimited() && knownEndpoints.contains(entry.endpoint);
              long retention =
                  entry.isLimited() ? UNKNOWN_RETENTION_MILLIS : ENDED_RETENTION_MILLIS;
              return !known && now - entry.observedMillis > retention;
            });
  }

  /** What is known about the limit of one incarnation of an endpoint. */
  private static final class Entry {
    private final String endpoint;
    private final long startedAtMillis;
    private double ratePerSecond = LimitObservation.NONE;
    private long observedMillis;
    private boolean own;
    private long closedUntilMillis;

    private Entry(String endpoint, long startedAtMillis) {
      this.endpoint = endpoint;
      this.startedAtMillis = startedAtMillis;
    }

    private boolean isLimited() {
      return ratePerSecond >= 0;
    }

    private EndpointLimit limit() {
      return new EndpointLimit(
          endpoint, startedAtMillis, Math.max(MIN_RATE_PER_SECOND, ratePerSecond));
    }

    private boolean update(double newRate, long atMillis, boolean observedByThisDaemon) {
      observedMillis = atMillis;
      own = observedByThisDaemon;
      if (newRate == ratePerSecond) {
        return false;
      }
      ratePerSecond = newRate;
      closedUntilMillis = 0;
      return true;
    }
  }
}
