package org.heatherspread.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.model.InstanceKind;

/**
 * A copy of one daemon's local view of all instances. Immutable.
 *
 * @param version grows with each change of the local view
 * @param members members by instance id
 */
public record MembershipSnapshot(long version, Map<String, Member> members) {
  /** Copies the map. */
  public MembershipSnapshot {
    members = Map.copyOf(members);
  }

  /** Returns a snapshot without members. */
  public static MembershipSnapshot empty() {
    return new MembershipSnapshot(0, Map.of());
  }

  /** Finds a member by instance id. */
  public Optional<Member> member(String instanceId) {
    return Optional.ofNullable(members.get(instanceId));
  }

  /** Returns all daemons, in any health. */
  public List<Member> daemons() {
    return members.values().stream()
        .filter(m -> m.instance().kind() == InstanceKind.DAEMON)
        .toList();
  }

  /** Returns all endpoints of a service, in any health. */
  public List<Member> endpoints(String service) {
    return members.values().stream()
        .filter(m -> m.instance().kind() != InstanceKind.DAEMON)
        .filter(m -> m.instance().service().equals(service))
        .toList();
  }
}
