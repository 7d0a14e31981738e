package org.heatherspread.core.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.RequestId;

/**
 * Issues permits and request ids, and chooses their owner and witness. Owners are the daemons whose
 * addresses the caller gets; the witness is a random live daemon, preferably in another failure
 * domain than the owner.
 *
 * <p>Thread-safe if the random generator is.
 */
public final class PermitIssuer {
  private final RandomGenerator random;

  private PermitIssuer(RandomGenerator random) {
    this.random = random;
  }

  /** Creates an issuer; ids are as unpredictable as the random generator. */
  public static PermitIssuer create(RandomGenerator random) {
    return new PermitIssuer(random);
  }

  /**
   * Issues permits for a caller.
   *
   * @param owners daemons whose addresses the caller gets, best first
   * @param daemons all daemons
   * @param count number of permits, distributed round-robin over the owners
   * @param expiresAt expiry in milliseconds since the epoch
   * @return fewer permits than requested if owners or witnesses are lacking
   */
  public List<ExecutionPermit> issue(
      String account, List<Instance> owners, List<Member> daemons, int count, long expiresAt) {
    List<ExecutionPermit> permits = new ArrayList<>();
    for (int i = 0; i < count && !owners.isEmpty(); i++) {
      Instance owner = owners.get(i % owners.size());
      requestId(owner, daemons)
          .ifPresent(id -> permits.add(new ExecutionPermit(id, account, expiresAt)));
    }
    return permits;
  }

  /** Returns a new id for a call at an owner; empty if no other daemon can be the witness. */
  public Optional<RequestId> requestId(Instance owner, List<Member> daemons) {
    return witness(owner, daemons)
        .map(witness -> RequestId.create(daemonRef(owner), daemonRef(witness), random));
  }

  /**
   * Returns a new id for a call that is not recorded and needs no witness; it names the owner in
   * both places.
   */
  public RequestId unwitnessedId(Instance owner) {
    return RequestId.create(daemonRef(owner), daemonRef(owner), random);
  }

  /** Selects a live daemon in another failure domain, or in the same one if there is no other. */
  private Optional<Instance> witness(Instance owner, List<Member> daemons) {
    List<Instance> otherDomainCandidates = new ArrayList<>();
    List<Instance> sameDomainCandidates = new ArrayList<>();
    for (Member daemon : daemons) {
      Instance candidate = daemon.instance();
      if (!daemon.takesNewWork() || candidate.id().equals(owner.id())) {
        continue;
      }
      boolean sameDomain = candidate.domain().equals(owner.domain());
      (sameDomain ? sameDomainCandidates : otherDomainCandidates).add(candidate);
    }
    List<Instance> candidates =
        otherDomainCandidates.isEmpty() ? sameDomainCandidates : otherDomainCandidates;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private static DaemonRef daemonRef(Instance daemon) {
    return new DaemonRef(daemon.id(), daemon.incarnation());
  }
}
