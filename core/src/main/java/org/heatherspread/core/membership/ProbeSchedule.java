package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heatherspread.core.model.Instance;

/**
 * Schedules the endpoint probes of one daemon. Each endpoint is probed by a few daemons of its
 * region, chosen by rendezvous hashing among those alive; the endpoints of a region without daemons
 * are probed by daemons of all regions.
 *
 * <p>Not thread-safe.
 */
final class ProbeSchedule {
  private static final int FAILURES_TO_SUSPECT = 2;
  private static final long ASSIGN_INTERVAL_MILLIS = 2_000;

  private final Instance self;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Map<String, Probe> probes = new HashMap<>();
  private final long ownHash;
  private long assignedVersion = -1;
  private long assignedAtMillis;

  ProbeSchedule(Instance self, MembershipSettings settings, RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.ownHash = Hashing.of(self.id());
  }

  /** Reassigns endpoints if the table has changed, at most once per interval. */
  void assign(MemberTable table, long nowMillis) {
    boolean intervalElapsed = nowMillis - assignedAtMillis >= ASSIGN_INTERVAL_MILLIS;
    if (table.version() == assignedVersion || (assignedVersion >= 0 && !intervalElapsed)) {
      return;
    }
    assignedVersion = table.version();
    assignedAtMillis = nowMillis;
    Map<String, List<Long>> daemons = aliveDaemons(table.all());
    Set<String> assigned = new HashSet<>();
    for (MemberRecord record : table.all()) {
      if (isProbeable(record) && isAssignedToSelf(record.instance().get(), daemons)) {
        assigned.add(record.id());
      }
    }
    probes.keySet().retainAll(assigned);
    for (String id : assigned) {
      probes.computeIfAbsent(id, key -> new Probe(nowMillis + jitter()));
    }
  }

  private static boolean isProbeable(MemberRecord record) {
    return record.instance().isPresent()
        && !MemberTable.isDaemon(record)
        && (record.health() == Health.ALIVE || record.health() == Health.SUSPECT);
  }

  private static Map<String, List<Long>> aliveDaemons(Collection<MemberRecord> records) {
    Map<String, List<Long>> found = new HashMap<>();
    for (MemberRecord record : records) {
      if (MemberTable.isDaemon(record) && record.health() == Health.ALIVE) {
        String region = record.instance().get().domain().region();
        found.computeIfAbsent(region, key -> new ArrayList<>()).add(Hashing.of(record.id()));
      }
    }
    return found;
  }

  private boolean isAssignedToSelf(Instance endpoint, Map<String, List<Long>> daemons) {
    String region = endpoint.domain().region();
    if (daemons.containsKey(region) && !region.equals(self.domain().region())) {
      return false;
    }
    long hash = Hashing.of(endpoint.id());
    long ownScore = Hashing.mix(hash, ownHash);
    int higherRanked = 0;
    for (long daemon : candidateHashes(region, daemons)) {
      if (Hashing.mix(hash, daemon) > ownScore && ++higherRanked >= settings.probersPerEndpoint()) {
        return false;
      }
    }
    return true;
  }

  private static List<Long> candidateHashes(String region, Map<String, List<Long>> daemons) {
    List<Long> local = daemons.get(region);
    if (local != null) {
      return local;
    }
    return daemons.values().stream().flatMap(List::stream).toList();
  }

  /** Returns the ids of the endpoints whose probe is due, and schedules their next probes. */
  List<String> dueProbes(long nowMillis) {
    List<String> due = new ArrayList<>();
    for (Map.Entry<String, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (probe.dueMillis <= nowMillis) {
        probe.dueMillis = nowMillis + settings.probeInterval().toMillis() / 2 + jitter();
        due.add(entry.getKey());
      }
    }
    return due;
  }

  private long jitter() {
    return random.nextLong(settings.probeInterval().toMillis() + 1);
  }

  /** Records an answer, which resets the count of failures. */
  void recordAnswer(String id, long nowMillis) {
    Probe probe = probes.get(id);
    if (probe != null) {
      probe.failures = 0;
      probe.answeredMillis = nowMillis;
    }
  }

  /**
   * Records a failed probe; returns whether the endpoint reached the number of consecutive failures
   * at which it is suspected.
   */
  boolean recordFailure(String id) {
    Probe probe = probes.get(id);
    return probe != null && ++probe.failures == FAILURES_TO_SUSPECT;
  }

  /** Returns whether an endpoint answered this daemon since a time and has not failed after. */
  boolean answeredSince(String id, long sinceMillis) {
    Probe probe = probes.get(id);
    return probe != null && probe.failures == 0 && probe.answeredMillis >= sinceMillis;
  }

  int size() {
    return probes.size();
  }

  private static final class Probe {
    private long dueMillis;
    private long answeredMillis = Long.MIN_VALUE;
    private int failures;

    private Probe(long dueMillis) {
      this.dueMillis = dueMillis;
    }
  }
}
