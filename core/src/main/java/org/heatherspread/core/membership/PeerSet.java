package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;

/**
 * The daemons that one daemon exchanges with: all of its failure domain, a few of each other domain
 * of its region, and a few of each other region, chosen by rendezvous hashing so that a change of
 * the fleet moves few of them. A small fleet is linked whole.
 *
 * <p>Not safe for use by several threads.
 */
final class PeerSet {
  private static final int LINKED_WHOLE = 12;

  private final Instance self;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final long ownHash;
  private List<Instance> near = List.of();
  private List<Instance> inRegion = List.of();
  private List<Instance> elsewhere = List.of();
  private List<Instance> all = List.of();
  private final List<Instance> nearTurn = new ArrayList<>();
  private final List<Instance> farTurn = new ArrayList<>();

  PeerSet(Instance self, MembershipSettings settings, RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.ownHash = Hashing.of(self.id());
  }

  // ---------------------------------------------------------------------------------------------
  // Choosing links
  // ---------------------------------------------------------------------------------------------

  /** Chooses the links anew from all records. */
  void choose(Collection<MemberRecord> records) {
    List<Instance> domain = new ArrayList<>();
    Map<String, List<Instance>> domains = new HashMap<>();
    Map<String, List<Instance>> regions = new HashMap<>();
    int daemons = 0;
    for (MemberRecord record : records) {
      if (!MemberTable.isDaemon(record)
          || record.health() == Health.DEAD
          || record.id().equals(self.id())) {
        continue;
      }
      daemons++;
      Instance peer = record.instance().get();
      FailureDomain place = peer.domain();
      if (place.equals(self.domain())) {
        domain.add(peer);
      } else if (place.region().equals(self.domain().region())) {
        domains.computeIfAbsent(place.name(), name -> new ArrayList<>()).add(peer);
      } else {
        regions.computeIfAbsent(place.region(), name -> new ArrayList<>()).add(peer);
      }
    }
    boolean whole = daemons <= LINKED_WHOLE;
    near = domain;
    inRegion = few(domains.values(), whole ? LINKED_WHOLE : settings.peersPerDomain());
    elsewhere = few(regions.values(), whole ? LINKED_WHOLE : settings.peersPerRegion());
    all = new ArrayList<>(near);
    all.addAll(inRegion);
    all.addAll(elsewhere);
    nearTurn.clear();
    farTurn.clear();
  }

  private List<Instance> few(Collection<List<Instance>> groups, int count) {
    List<Instance> chosen = new ArrayList<>();
    for (List<Instance> group : groups) {
      List<Scored> scored = new ArrayList<>();
      for (Instance peer : group) {
        scored.add(new Scored(peer, Hashing.mix(ownHash, Hashing.of(peer.id()))));
      }
      scored.sort(Comparator.comparingLong(Scored::score).thenComparing(s -> s.peer().id()));
      for (int i = 0; i < count && i < scored.size(); i++) {
        chosen.add(scored.get(i).peer());
      }
    }
    return chosen;
  }

  private record Scored(Instance peer, long score) {}

  // ---------------------------------------------------------------------------------------------
  // Taking turns
  // ---------------------------------------------------------------------------------------------

  List<Instance> all() {
    return all;
  }

  /** Returns the next link to compare with: two of three times within the failure domain. */
  Instance next() {
    boolean far = near.isEmpty() || (all.size() > near.size() && random.nextInt(3) == 0);
    List<Instance> turn = far ? farTurn : nearTurn;
    if (turn.isEmpty()) {
      turn.addAll(far ? all.subList(near.size(), all.size()) : near);
      Collections.shuffle(turn, new Random(random.nextLong()));
    }
    return turn.isEmpty() ? null : turn.remove(turn.size() - 1);
  }

  /** Returns the links to push news to: half near, the others as far apart as there are. */
  List<Instance> pushTargets(int count) {
    if (all.size() <= count) {
      return all;
    }
    List<Instance> targets = new ArrayList<>();
    addAny(targets, near, (count + 1) / 2);
    addAny(targets, elsewhere, 1);
    addAny(targets, inRegion, 1);
    while (targets.size() < count) {
      addAny(targets, all, 1);
    }
    return targets;
  }

  /** Returns some links other than one daemon. */
  List<Instance> anyExcept(String id, int count) {
    List<Instance> found = new ArrayList<>();
    List<Instance> pool = near.size() > count ? near : all;
    for (int i = 0; i < 2 * count && found.size() < count && !pool.isEmpty(); i++) {
      Instance peer = pool.get(random.nextInt(pool.size()));
      if (!peer.id().equals(id) && !found.contains(peer)) {
        found.add(peer);
      }
    }
    return found;
  }

  private void addAny(List<Instance> targets, List<Instance> pool, int count) {
    int tries = 3 * count;
    int wanted = targets.size() + count;
    while (tries-- > 0 && targets.size() < wanted && !pool.isEmpty()) {
      Instance peer = pool.get(random.nextInt(pool.size()));
      if (!targets.contains(peer)) {
        targets.add(peer);
      }
    }
  }
}
