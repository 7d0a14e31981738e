package org.heatherspread.core.membership;

import java.util.Optional;
import org.heatherspread.core.model.Instance;

/**
 * What daemons tell each other of one instance. Immutable.
 *
 * <p>Of two records of an instance, the one that {@link #supersedes} the other holds everywhere,
 * whatever the order of arrival: the higher incarnation; within one, dead before leaving before the
 * others; then the higher refutation; then suspect before alive (after SWIM, Das et al. 2002).
 *
 * @param id the instance's id
 * @param incarnation which start of the process it speaks of
 * @param refutation grows each time a suspicion is refuted
 * @param health what is believed
 * @param leavingAtMillis when a leaving instance ends, in milliseconds since the epoch; 0 if
 *     unknown
 * @param instance the whole description; absent where the receiver is expected to have it
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

  /** Tells whether this record replaces another of the same instance. */
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

  /** Returns a copy with another health. */
  public MemberRecord withHealth(Health next) {
    return new MemberRecord(id, incarnation, refutation, next, leavingAtMillis, instance);
  }

  /** Returns a copy that is leaving. */
  public MemberRecord asLeaving(long endsAtMillis) {
    return new MemberRecord(id, incarnation, refutation, Health.LEAVING, endsAtMillis, instance);
  }

  /** Returns a copy that refutes a suspicion. */
  public MemberRecord withRefutation() {
    return new MemberRecord(
        id, incarnation, refutation + 1, Health.ALIVE, leavingAtMillis, instance);
  }

  /** Returns a copy that refutes an older record. */
  public MemberRecord refuting(MemberRecord old) {
    return new MemberRecord(id, incarnation, old.refutation + 1, health, leavingAtMillis, instance);
  }

  /** Returns a copy with a description. */
  public MemberRecord withInstance(Optional<Instance> next) {
    return new MemberRecord(id, incarnation, refutation, health, leavingAtMillis, next);
  }

  /** Returns a copy without the description. */
  public MemberRecord withoutInstance() {
    return withInstance(Optional.empty());
  }

  /** Returns a 64-bit hash of what the record says; equal records have equal hashes. */
  public long fingerprint() {
    long hash = Hashing.of(id);
    hash = Hashing.mix(hash, incarnation);
    hash = Hashing.mix(hash, rank() > 0 ? 0 : refutation);
    hash = Hashing.mix(hash, health.ordinal());
    return Hashing.mix(hash, instance.isPresent() ? 1 : 0);
  }
}
