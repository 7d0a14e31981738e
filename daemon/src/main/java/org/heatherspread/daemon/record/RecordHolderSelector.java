package org.heatherspread.daemon.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;

/**
 * Selects daemons to hold a replica of a record.
 *
 * <p>Only daemons that are alive and have no reclaim notice are candidates. Daemons of other
 * failure domains without a leaving daemon come first, then those of other domains, then those of
 * this daemon's domain. Daemons of other domains are in random order within their group, so that
 * the replicas spread over all of them. Immutable and thread-safe.
 */
record RecordHolderSelector(Instance self, Supplier<MembershipSnapshot> membership) {

  /** Returns the candidates in order of preference, without the excluded daemons. */
  List<Instance> candidates(Set<String> excluded) {
    List<Member> daemons = membership.get().daemons();
    List<FailureDomain> leavingDomains = new ArrayList<>();
    for (Member daemon : daemons) {
      if (daemon.health() == Health.LEAVING) {
        leavingDomains.add(daemon.instance().domain());
      }
    }
    List<Instance> preferred = new ArrayList<>();
    List<Instance> leavingDomain = new ArrayList<>();
    List<Instance> sameDomain = new ArrayList<>();
    for (Member daemon : daemons) {
      Instance instance = daemon.instance();
      if (!daemon.takesNewWork()
          || instance.id().equals(self.id())
          || excluded.contains(instance.id())) {
        continue;
      }
      if (instance.domain().equals(self.domain())) {
        sameDomain.add(instance);
      } else {
        (leavingDomains.contains(instance.domain()) ? leavingDomain : preferred).add(instance);
      }
    }
    Collections.shuffle(preferred, ThreadLocalRandom.current());
    Collections.shuffle(leavingDomain, ThreadLocalRandom.current());
    preferred.addAll(leavingDomain);
    preferred.addAll(sameDomain);
    return preferred;
  }

  /** Returns whether a daemon is alive and has no reclaim notice. */
  boolean isAvailable(String daemonId) {
    return membership.get().member(daemonId).filter(Member::takesNewWork).isPresent();
  }
}
