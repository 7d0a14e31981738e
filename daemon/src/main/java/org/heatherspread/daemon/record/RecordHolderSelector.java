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
 * Chooses daemons to keep a copy: alive, not under notice, best in another failure domain of which
 * no daemon is leaving, in random order so that no daemon keeps the copies of all others.
 *
 * <p>Immutable; safe for use by any thread.
 */
record RecordHolderSelector(Instance self, Supplier<MembershipSnapshot> membership) {

  /** Returns candidates, best first, without those named. */
  List<Instance> candidates(Set<String> excluded) {
    List<Member> daemons = membership.get().daemons();
    List<FailureDomain> leaving = new ArrayList<>();
    for (Member daemon : daemons) {
      if (daemon.health() == Health.LEAVING) {
        leaving.add(daemon.instance().domain());
      }
    }
    List<Instance> best = new ArrayList<>();
    List<Instance> good = new ArrayList<>();
    List<Instance> last = new ArrayList<>();
    for (Member daemon : daemons) {
      Instance each = daemon.instance();
      if (!daemon.takesNewWork() || each.id().equals(self.id()) || excluded.contains(each.id())) {
        continue;
      }
      if (each.domain().equals(self.domain())) {
        last.add(each);
      } else {
        (leaving.contains(each.domain()) ? good : best).add(each);
      }
    }
    Collections.shuffle(best, ThreadLocalRandom.current());
    Collections.shuffle(good, ThreadLocalRandom.current());
    best.addAll(good);
    best.addAll(last);
    return best;
  }

  /** Tells whether a daemon is alive and not under notice. */
  boolean isAvailable(String daemonId) {
    return membership.get().member(daemonId).filter(Member::takesNewWork).isPresent();
  }
}
