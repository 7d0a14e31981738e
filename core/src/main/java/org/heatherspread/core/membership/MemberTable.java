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
 * The records of all instances at one daemon.
 *
 * <p>Invariant: for each instance the table holds the record that supersedes all others it was
 * offered, until a tombstone is forgotten. Not safe for use by several threads.
 */
final class MemberTable {
  private final Map<String, MemberRecord> records = new HashMap<>();
  private final Map<String, Long> learntAtMillis = new HashMap<>();
  private final Digest digest;
  private long version;
  private long daemonsVersion;

  MemberTable(Digest digest) {
    this.digest = digest;
  }

  /** What a merge changed. */
  enum MergeResult {
    /** Nothing was new. */
    NONE,
    /** The health or refutation of a known incarnation. */
    HEALTH,
    /** An incarnation or its description became known. */
    DESCRIPTION
  }

  /** Takes a record over if it supersedes the one known, or adds a description that was lacking. */
  MergeResult merge(MemberRecord offered, long nowMillis) {
    MemberRecord old = records.get(offered.id());
    if (old == null) {
      put(offered, null, nowMillis);
      return MergeResult.DESCRIPTION;
    }
    Optional<Instance> instance = description(offered, old);
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

  private static Optional<Instance> description(MemberRecord offered, MemberRecord old) {
    if (offered.instance().isPresent()) {
      boolean fits = offered.incarnation() >= old.incarnation();
      return fits ? offered.instance() : old.instance();
    }
    return offered.incarnation() <= old.incarnation() ? old.instance() : Optional.empty();
  }

  private void put(MemberRecord next, MemberRecord old, long nowMillis) {
    digest.put(key(next.id()), next.fingerprint());
    records.put(next.id(), next);
    boolean started = old == null || old.incarnation() != next.incarnation();
    if (started || next.health() == Health.DEAD) {
      learntAtMillis.put(next.id(), nowMillis);
    }
    version++;
    boolean sameDescription = !started && old.instance().equals(next.instance());
    if (isDaemon(next) && (!sameDescription || next.health() == Health.DEAD)) {
      daemonsVersion = version;
    }
  }

  /** Forgets the dead after a while; a record that comes back later is judged anew. */
  void forgetDead(long beforeMillis) {
    List<MemberRecord> old = new ArrayList<>();
    for (MemberRecord record : records.values()) {
      if (record.health() == Health.DEAD && learntAtMillis.get(record.id()) < beforeMillis) {
        old.add(record);
      }
    }
    for (MemberRecord record : old) {
      records.remove(record.id());
      learntAtMillis.remove(record.id());
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

  long learntAtMillis(String id) {
    return learntAtMillis.getOrDefault(id, 0L);
  }

  long version() {
    return version;
  }

  /** Returns a number that grows when daemons come, go or are described, not with their health. */
  long daemonsVersion() {
    return daemonsVersion;
  }

  MembershipSnapshot snapshot() {
    Map<String, Member> members = new HashMap<>();
    for (MemberRecord record : records.values()) {
      if (record.instance().isPresent()) {
        members.put(record.id(), new Member(described(record), record.health()));
      }
    }
    return new MembershipSnapshot(version, members);
  }

  private static Instance described(MemberRecord record) {
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
