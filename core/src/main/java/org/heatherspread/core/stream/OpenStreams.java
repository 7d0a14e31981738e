package org.heatherspread.core.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.heatherspread.core.stream.StreamReport.OpenStream;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The streams that this daemon began and that may be resumed, the versions at which recent ones
 * began, and the splits by which new ones begin.
 *
 * <p>Invariant: a split is used only once a report that contains it was written. Beyond the maximum
 * number the oldest streams are dropped. Confined to one thread.
 */
public final class OpenStreams {
  /** Unit of the reported time for which streams may be resumed, so that it rarely changes. */
  private static final long RESUMABLE_UNIT_MILLIS = 500;

  /** Stands for callers that wait without a limit. */
  private static final long MAX_RESUMABLE_MILLIS = Duration.ofDays(1).toMillis();

  private final MonotonicClock clock;
  private final long versionRetentionMillis;
  private final int maxStreams;
  private final Map<String, Entry> streams = new LinkedHashMap<>();
  private final Map<StreamOrigin, Long> lastUseMillis = new HashMap<>();
  private Map<String, VersionSplit> splitsInUse = Map.of();
  private Map<String, VersionSplit> reportedSplits = Map.of();
  private long droppedUntilMillis = Long.MIN_VALUE;
  private long startedAtStoreMillis;
  private long resumableMillis;

  private OpenStreams(MonotonicClock clock, long versionRetentionMillis, int maxStreams) {
    this.clock = clock;
    this.versionRetentionMillis = versionRetentionMillis;
    this.maxStreams = maxStreams;
  }

  /**
   * Creates an instance without streams.
   *
   * @param versionRetentionMillis time for which a version is reported after the last stream began
   *     at it; longer than callers resume streams
   */
  public static OpenStreams create(
      MonotonicClock clock, long versionRetentionMillis, int maxStreams) {
    return new OpenStreams(clock, versionRetentionMillis, maxStreams);
  }

  /**
   * Records the first event of a stream.
   *
   * @param callerWaitMillis time for which the caller may resume it
   * @param retentionMillis time for which to report it, not shorter
   * @return whether the last report names a shorter time for which streams may be resumed
   */
  public boolean begin(
      String attemptId, StreamOrigin origin, long callerWaitMillis, long retentionMillis) {
    open(attemptId, origin, retentionMillis);
    long waitMillis = Math.min(callerWaitMillis, MAX_RESUMABLE_MILLIS);
    if (waitMillis <= resumableMillis) {
      return false;
    }
    long units = (waitMillis - 1) / RESUMABLE_UNIT_MILLIS + 1;
    resumableMillis = units * RESUMABLE_UNIT_MILLIS;
    return true;
  }

  /** Reports a stream that may be resumed, also one that another daemon began. */
  public void open(String attemptId, StreamOrigin origin, long retentionMillis) {
    long now = clock.millis();
    lastUseMillis.put(origin, now);
    streams.put(attemptId, new Entry(origin, now + retentionMillis));
    Iterator<Entry> oldest = streams.values().iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      boolean expired = entry.expiryMillis <= now;
      if (!expired && streams.size() <= maxStreams) {
        return;
      }
      if (!expired) {
        droppedUntilMillis = Math.max(droppedUntilMillis, entry.expiryMillis);
      }
      oldest.remove();
    }
  }

  /** Records that a stream is complete. */
  public void complete(String attemptId) {
    streams.remove(attemptId);
  }

  /** Returns the services with streams that may be resumed. */
  public Set<String> services() {
    Set<String> services = new TreeSet<>();
    streams.values().forEach(entry -> services.add(entry.origin.service()));
    return services;
  }

  /** Adds the versions of a service at which recent streams began. */
  public void addVersions(String service, Set<String> versions) {
    for (StreamOrigin used : lastUseMillis.keySet()) {
      if (used.service().equals(service)) {
        versions.add(used.version());
      }
    }
  }

  /**
   * Returns the version at which a new stream must begin so that its origin is found after all
   * daemons were killed.
   *
   * @return empty if no report that tells has been written yet
   */
  public Optional<String> assignedVersion(String service, String attemptId) {
    return Optional.ofNullable(splitsInUse.get(service)).map(split -> split.versionOf(attemptId));
  }

  /**
   * Returns the next report of this daemon.
   *
   * @param era era of the store
   * @param storeMillis time of the store's clock
   * @param slots slots of the registered endpoints of each version, by service
   */
  public StreamReport report(long era, long storeMillis, Map<String, Map<String, Integer>> slots) {
    long now = clock.millis();
    if (startedAtStoreMillis == 0) {
      startedAtStoreMillis = storeMillis;
    }
    lastUseMillis.values().removeIf(used -> now - used > versionRetentionMillis);
    Map<String, VersionSplit> next = new HashMap<>(splitsInUse);
    slots.forEach((service, byVersion) -> next.put(service, VersionSplit.of(byVersion)));
    reportedSplits = next;
    Map<String, Set<String>> versions = new HashMap<>();
    slots.forEach((service, byVersion) -> versions.put(service, new TreeSet<>(byVersion.keySet())));
    for (StreamOrigin used : lastUseMillis.keySet()) {
      versions.computeIfAbsent(used.service(), name -> new TreeSet<>()).add(used.version());
    }
    return new StreamReport(
        era,
        now >= droppedUntilMillis,
        possibleSplits(next),
        versions,
        openStreams(versions),
        startedAtStoreMillis,
        resumableMillis);
  }

  /** Returns the splits in use and the next ones, as the write of the report may fail. */
  private Map<String, List<VersionSplit>> possibleSplits(Map<String, VersionSplit> next) {
    Map<String, List<VersionSplit>> possible = new HashMap<>();
    next.forEach(
        (service, split) -> {
          VersionSplit inUse = splitsInUse.getOrDefault(service, split);
          possible.put(service, inUse.equals(split) ? List.of(split) : List.of(inUse, split));
        });
    return possible;
  }

  /** Names the streams that did not certainly begin at the only reported version of a service. */
  private List<OpenStream> openStreams(Map<String, Set<String>> versions) {
    List<OpenStream> open = new ArrayList<>();
    streams.forEach(
        (attemptId, entry) -> {
          StreamOrigin origin = entry.origin;
          boolean onlyVersion = Set.of(origin.version()).equals(versions.get(origin.service()));
          if (!onlyVersion && entry.expiryMillis > clock.millis()) {
            open.add(new OpenStream(attemptId, origin.service(), origin.version()));
          }
        });
    return open;
  }

  /**
   * Uses the splits of the last report from now on, as it was written.
   *
   * @return whether a further report would no longer contain the splits before
   */
  public boolean onReportWritten() {
    boolean changed = !splitsInUse.equals(reportedSplits);
    splitsInUse = reportedSplits;
    return changed;
  }

  private record Entry(StreamOrigin origin, long expiryMillis) {}
}
