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
 * Chooses owner and witness of new permits: the owner is one of the addresses that the caller gets,
 * the witness a live daemon in another failure domain, spread evenly.
 *
 * <p>Not safe for use by several threads unless the random generator is.
 */
public final class PermitIssuer {
  private final RandomGenerator random;

  private PermitIssuer(RandomGenerator random) {
    this.random = random;
  }

  /** Creates an issuer. */
  public static PermitIssuer create(RandomGenerator random) {
    return new PermitIssuer(random);
  }

  /**
   * Issues permits for a caller.
   *
   * @param owners the daemons that the caller was told to use, best first
   * @param daemons all daemons
   * @param count how many permits, dealt to the owners in turn
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

  /** Returns a new id for a call at an owner; empty if no witness is alive elsewhere. */
  public Optional<RequestId> requestId(Instance owner, List<Member> daemons) {
    return witness(owner, daemons)
        .map(witness -> RequestId.create(reference(owner), reference(witness), random));
  }

  /** Returns a new id for a call of which no record is kept; it names the daemon twice. */
  public RequestId unwitnessedId(Instance owner) {
    return RequestId.create(reference(owner), reference(owner), random);
  }

  /** Chooses a live daemon in another failure domain, or in the same one if there is no other. */
  private Optional<Instance> witness(Instance owner, List<Member> daemons) {
    List<Instance> elsewhere = new ArrayList<>();
    List<Instance> beside = new ArrayList<>();
    for (Member daemon : daemons) {
      Instance each = daemon.instance();
      if (!daemon.takesNewWork() || each.id().equals(owner.id())) {
        continue;
      }
      boolean sameDomain = each.domain().equals(owner.domain());
      (sameDomain ? beside : elsewhere).add(each);
    }
    List<Instance> candidates = elsewhere.isEmpty() ? beside : elsewhere;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private static DaemonRef reference(Instance daemon) {
    return new DaemonRef(daemon.id(), daemon.incarnation());
  }
}
