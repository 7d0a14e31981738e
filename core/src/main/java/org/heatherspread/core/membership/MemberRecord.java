package org.heatherspread.core.membership;

import java.util.Optional;
import org.heatherspread.core.model.Instance;

/**
 * The state of one instance as exchanged between daemons. Immutable.
 *
 * <p>Records of an instance are ordered by {@link #supersedes}, so that all daemons converge to the
 * same record in any order of arrival: a higher incarnation wins; within an incarnation, dead wins
 * over leaving and leaving over the others; then the higher refutation; then suspect over alive
 * (after SWIM, Das et al. 2002).
 *
 * @param id id of the instance
 * @param incarnation number of the process start that the record describes
 * @param refutation grows each time a suspicion is refuted
 * @param health health of the instance
 * @param leavingAtMillis end of a leaving instance, in milliseconds since the epoch; 0 if unknown
 * @param instance full description; absent where the receiver is expected to have it
 */
public record MemberRecord(
    String id,
    long incarnation,
    long refutation,
    Health health,
    long leavingAtMillis,
    Optional<Instance> instance) {

  /** Creates the first record of an instance. */
  public static MemberRecord of(Instance instance, Health health) {
    return new MemberRecord(
        instance.id(),
        instance.incarnation(),
        0,
        health,
        instance.leavingAtMillis().orElse(0L),
        Optional.of(instance));
  }

  /** Returns whether this record replaces another record of the same instance. */
  public boolean supersedes(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (rank() != other.rank()) {
      return rank() > other.rank();
    }
    if (rank() > 0) {
      return false;
    }
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return health == Health.SUSPECT && other.health == Health.ALIVE;
  }

  private int rank() {
    return switch (health) {
      case DEAD -> 2;
      case LEAVING -> 1;
      default -> 0;
    };
  }

  /** Returns a copy with the given health. */
  public MemberRecord withHealth(Health next) {
    return new MemberRecord(id, incarnation, refutation, next, leavingAtMillis, instance);
  }

  /** Returns a copy with health {@code LEAVING} and the given end. */
  public MemberRecord asLeaving(long endsAtMillis) {
    return new MemberRecord(id, incarnation, refutation, Health.LEAVING, endsAtMillis, instance);
  }

  /** Returns a copy that refutes a suspicion of this record. */
  public MemberRecord withRefutation() {
    return new MemberRecord(
        id, incarnation, refutation + 1, Health.ALIVE, leavingAtMillis, instance);
  }

  /** Returns a copy that refutes an older record of the same incarnation. */
  public MemberRecord refuting(MemberRecord old) {
    return new MemberRecord(id, incarnation, old.refutation + 1, health, leavingAtMillis, instance);
  }

  /** Returns a copy with the given description. */
  public MemberRecord withInstance(Optional<Instance> next) {
    return new MemberRecord(id, incarnation, refutation, health, leavingAtMillis, next);
  }

  /** Returns a copy without the description. */
  public MemberRecord withoutInstance() {
    return withInstance(Optional.empty());
  }

  /** Returns a 64-bit hash of the record; equal records have equal hashes. */
  public long fingerprint() {
    long hash = Hashing.of(id);
    hash = Hashing.mix(hash, incarnation);
    hash = Hashing.mix(hash, rank() > 0 ? 0 : refutation);
    hash = Hashing.mix(hash, health.ordinal());
    return Hashing.mix(hash, instance.isPresent() ? 1 : 0);
  }
}
