package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;

/**
 * The records of all instances known to one daemon.
 *
 * <p>Invariant: for each instance the table holds the record that supersedes all others offered,
 * until its tombstone is removed. Not thread-safe.
 */
final class MemberTable {
  private final Map<String, MemberRecord> records = new HashMap<>();
  private final Map<String, Long> learnedAtMillis = new HashMap<>();
  private final Digest digest;
  private long version;
  private long daemonsVersion;

  MemberTable(Digest digest) {
    this.digest = digest;
  }

  /** The effect of a merge. */
  enum MergeResult {
    /** No change. */
    NONE,
    /** The health or refutation of a known incarnation changed. */
    HEALTH,
    /** An incarnation or its description became known. */
    DESCRIPTION
  }

  /**
   * Stores a record if it supersedes the known one, or adds its description if that was missing.
   */
  MergeResult merge(MemberRecord offered, long nowMillis) {
    MemberRecord old = records.get(offered.id());
    if (old == null) {
      put(offered, null, nowMillis);
      return MergeResult.DESCRIPTION;
    }
    Optional<Instance> instance = mergedDescription(offered, old);
    if (offered.supersedes(old)) {
      put(offered.withInstance(instance), old, nowMillis);
      boolean known = old.instance().isPresent() && old.incarnation() == offered.incarnation();
      return known ? MergeResult.HEALTH : MergeResult.DESCRIPTION;
    }
    if (old.instance().isEmpty() && instance.isPresent()) {
      put(old.withInstance(instance), old, nowMillis);
      return MergeResult.DESCRIPTION;
    }
    return MergeResult.NONE;
  }

  private static Optional<Instance> mergedDescription(MemberRecord offered, MemberRecord old) {
    if (offered.instance().isPresent()) {
      boolean current = offered.incarnation() >= old.incarnation();
      return current ? offered.instance() : old.instance();
    }
    return offered.incarnation() <= old.incarnation() ? old.instance() : Optional.empty();
  }

  private void put(MemberRecord next, MemberRecord old, long nowMillis) {
    digest.put(key(next.id()), next.fingerprint());
    records.put(next.id(), next);
    boolean newIncarnation = old == null || old.incarnation() != next.incarnation();
    if (newIncarnation || next.health() == Health.DEAD) {
      learnedAtMillis.put(next.id(), nowMillis);
    }
    version++;
    boolean sameDescription = !newIncarnation && old.instance().equals(next.instance());
    if (isDaemon(next) && (!sameDescription || next.health() == Health.DEAD)) {
      daemonsVersion = version;
    }
  }

  /**
   * Removes the records of instances that were declared dead before a time. A record of such an
   * instance that arrives later is treated as new.
   */
  void removeExpiredTombstones(long beforeMillis) {
    List<MemberRecord> old = new ArrayList<>();
    for (MemberRecord record : records.values()) {
      if (record.health() == Health.DEAD && learnedAtMillis.get(record.id()) < beforeMillis) {
        old.add(record);
      }
    }
    for (MemberRecord record : old) {
      records.remove(record.id());
      learnedAtMillis.remove(record.id());
      digest.remove(key(record.id()));
      version++;
    }
  }

  MemberRecord get(String id) {
    return records.get(id);
  }

  Collection<MemberRecord> all() {
    return records.values();
  }

  long learnedAtMillis(String id) {
    return learnedAtMillis.getOrDefault(id, 0L);
  }

  long version() {
    return version;
  }

  /**
   * Returns a number that grows when daemons start, die or change their description, not with other
   * changes of health.
   */
  long daemonsVersion() {
    return daemonsVersion;
  }

  MembershipSnapshot snapshot() {
    Map<String, Member> members = new HashMap<>();
    for (MemberRecord record : records.values()) {
      if (record.instance().isPresent()) {
        members.put(record.id(), new Member(withLeavingTime(record), record.health()));
      }
    }
    return new MembershipSnapshot(version, members);
  }

  private static Instance withLeavingTime(MemberRecord record) {
    Instance instance = record.instance().get();
    if (record.leavingAtMillis() == 0 || instance.leavingAtMillis().isPresent()) {
      return instance;
    }
    return instance.withLeavingAt(record.leavingAtMillis());
  }

  static boolean isDaemon(MemberRecord record) {
    return record.instance().isPresent() && record.instance().get().kind() == InstanceKind.DAEMON;
  }

  static String key(String id) {
    return "m/" + id;
  }
}
