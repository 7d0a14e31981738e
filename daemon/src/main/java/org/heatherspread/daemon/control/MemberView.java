package org.heatherspread.daemon.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;

/**
 * An instance in the operator API, with the members of the instance list except that {@code health}
 * replaces {@code state}. Immutable.
 */
record MemberView(
    String id,
    long incarnation,
    String kind,
    String service,
    String region,
    String domain,
    String host,
    int port,
    int peerPort,
    String machineClass,
    String market,
    double pricePerHour,
    String health,
    Optional<Long> leavingAtMillis) {

  /** A daemon's local view of the instances, ordered by id. Immutable. */
  record Members(long version, List<MemberView> members) {}

  static Members of(MembershipSnapshot snapshot) {
    List<MemberView> views = new ArrayList<>();
    for (Member member : snapshot.members().values()) {
      views.add(of(member));
    }
    views.sort(Comparator.comparing(MemberView::id));
    return new Members(snapshot.version(), views);
  }

  private static MemberView of(Member member) {
    Instance instance = member.instance();
    return new MemberView(
        instance.id(),
        instance.incarnation(),
        lowerCase(instance.kind()),
        instance.service(),
        instance.domain().region(),
        instance.domain().name(),
        instance.host(),
        instance.port(),
        instance.peerPort(),
        instance.machineClass(),
        lowerCase(instance.market()),
        instance.pricePerHour(),
        lowerCase(member.health()),
        instance.leavingAtMillis());
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
