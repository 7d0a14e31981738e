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
 * Which endpoints one daemon probes, and when. Each endpoint is probed by a few daemons of its
 * region, chosen by rendezvous hashing among those alive; an endpoint of a region without daemons
 * is shared by all.
 *
 * <p>Not safe for use by several threads.
 */
final class ProbeSchedule {
  private static final int FAILURES_TO_SUSPECT = 2;
  private static final long CHOOSE_INTERVAL_MILLIS = 2_000;

  private final Instance self;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final Map<String, Probe> probes = new HashMap<>();
  private final long ownHash;
  private long chosenVersion = -1;
  private long chosenAtMillis;

  ProbeSchedule(Instance self, MembershipSettings settings, RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.ownHash = Hashing.of(self.id());
  }

  // ---------------------------------------------------------------------------------------------
  // Choosing
  // ---------------------------------------------------------------------------------------------

  /** Chooses the endpoints anew where the table changed, but not too often. */
  void choose(MemberTable table, long nowMillis) {
    boolean late = nowMillis - chosenAtMillis >= CHOOSE_INTERVAL_MILLIS;
    if (table.version() == chosenVersion || (chosenVersion >= 0 && !late)) {
      return;
    }
    chosenVersion = table.version();
    chosenAtMillis = nowMillis;
    Map<String, List<Long>> daemons = aliveDaemons(table.all());
    Set<String> mine = new HashSet<>();
    for (MemberRecord record : table.all()) {
      if (isProbed(record) && isMine(record.instance().get(), daemons)) {
        mine.add(record.id());
      }
    }
    probes.keySet().retainAll(mine);
    for (String id : mine) {
      probes.computeIfAbsent(id, key -> new Probe(nowMillis + jitter()));
    }
  }

  private static boolean isProbed(MemberRecord record) {
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

  private boolean isMine(Instance endpoint, Map<String, List<Long>> daemons) {
    String region = endpoint.domain().region();
    if (daemons.containsKey(region) && !region.equals(self.domain().region())) {
      return false;
    }
    long hash = Hashing.of(endpoint.id());
    long own = Hashing.mix(hash, ownHash);
    int better = 0;
    for (long daemon : pool(region, daemons)) {
      if (Hashing.mix(hash, daemon) > own && ++better >= settings.probersPerEndpoint()) {
        return false;
      }
    }
    return true;
  }

  private static List<Long> pool(String region, Map<String, List<Long>> daemons) {
    List<Long> local = daemons.get(region);
    if (local != null) {
      return local;
    }
    return daemons.values().stream().flatMap(List::stream).toList();
  }

  // ---------------------------------------------------------------------------------------------
  // Probing
  // ---------------------------------------------------------------------------------------------

  /** Returns the ids of the endpoints whose probe is due. */
  List<String> due(long nowMillis) {
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

  /** Notes an answer; returns whether the endpoint had failed before. */
  void answered(String id, long nowMillis) {
    Probe probe = probes.get(id);
    if (probe != null) {
      probe.failures = 0;
      probe.answeredMillis = nowMillis;
    }
  }

  /** Notes a failure and tells whether the endpoint is to be suspected now. */
  boolean failed(String id) {
    Probe probe = probes.get(id);
    return probe != null && ++probe.failures == FAILURES_TO_SUSPECT;
  }

  /** Tells whether an endpoint answered this daemon lately and has not failed since. */
  boolean answeredSince(String id, long sinceMillis) {
    Probe probe = probes.get(id);
    return probe != null && probe.failures == 0 && probe.answeredMillis >= sinceMillis;
  }

  int count() {
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
