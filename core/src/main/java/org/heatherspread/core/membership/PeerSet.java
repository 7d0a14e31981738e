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
 * Selects the daemons with which one daemon exchanges messages: all of its failure domain, a few of
 * each other domain of its region, and a few of each other region. Uses rendezvous hashing, so that
 * a change of the fleet changes few peers. In a small fleet all daemons are peers.
 *
 * <p>Not thread-safe.
 */
final class PeerSet {
  private static final int FULL_MESH_MAX_PEERS = 12;

  private final Instance self;
  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final long ownHash;
  private List<Instance> sameDomain = List.of();
  private List<Instance> otherDomains = List.of();
  private List<Instance> otherRegions = List.of();
  private List<Instance> all = List.of();
  private final List<Instance> sameDomainQueue = new ArrayList<>();
  private final List<Instance> remoteQueue = new ArrayList<>();

  PeerSet(Instance self, MembershipSettings settings, RandomGenerator random) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.ownHash = Hashing.of(self.id());
  }

  /** Selects the peers from all records. */
  void select(Collection<MemberRecord> records) {
    List<Instance> domainPeers = new ArrayList<>();
    Map<String, List<Instance>> peersByDomain = new HashMap<>();
    Map<String, List<Instance>> peersByRegion = new HashMap<>();
    int peerCount = 0;
    for (MemberRecord record : records) {
      if (!MemberTable.isDaemon(record)
          || record.health() == Health.DEAD
          || record.id().equals(self.id())) {
        continue;
      }
      peerCount++;
      Instance peer = record.instance().get();
      FailureDomain peerDomain = peer.domain();
      if (peerDomain.equals(self.domain())) {
        domainPeers.add(peer);
      } else if (peerDomain.region().equals(self.domain().region())) {
        peersByDomain.computeIfAbsent(peerDomain.name(), name -> new ArrayList<>()).add(peer);
      } else {
        peersByRegion.computeIfAbsent(peerDomain.region(), name -> new ArrayList<>()).add(peer);
      }
    }
    boolean fullMesh = peerCount <= FULL_MESH_MAX_PEERS;
    sameDomain = domainPeers;
    otherDomains =
        selectPerGroup(
            peersByDomain.values(), fullMesh ? FULL_MESH_MAX_PEERS : settings.peersPerDomain());
    otherRegions =
        selectPerGroup(
            peersByRegion.values(), fullMesh ? FULL_MESH_MAX_PEERS : settings.peersPerRegion());
    all = new ArrayList<>(sameDomain);
    all.addAll(otherDomains);
    all.addAll(otherRegions);
    sameDomainQueue.clear();
    remoteQueue.clear();
  }

  private List<Instance> selectPerGroup(Collection<List<Instance>> groups, int count) {
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

  List<Instance> all() {
    return all;
  }

  /**
   * Returns the next peer to compare state with, or null without peers. Two of three are of this
   * daemon's failure domain.
   */
  Instance nextExchangePeer() {
    boolean remote =
        sameDomain.isEmpty() || (all.size() > sameDomain.size() && random.nextInt(3) == 0);
    List<Instance> queue = remote ? remoteQueue : sameDomainQueue;
    if (queue.isEmpty()) {
      queue.addAll(remote ? all.subList(sameDomain.size(), all.size()) : sameDomain);
      Collections.shuffle(queue, new Random(random.nextLong()));
    }
    return queue.isEmpty() ? null : queue.remove(queue.size() - 1);
  }

  /**
   * Returns the peers to push updates to: half of this daemon's failure domain, the others of other
   * regions and domains where there are any.
   */
  List<Instance> pushTargets(int count) {
    if (all.size() <= count) {
      return all;
    }
    List<Instance> targets = new ArrayList<>();
    addRandom(targets, sameDomain, (count + 1) / 2);
    addRandom(targets, otherRegions, 1);
    addRandom(targets, otherDomains, 1);
    while (targets.size() < count) {
      addRandom(targets, all, 1);
    }
    return targets;
  }

  /** Returns at most {@code count} random peers other than the given one. */
  List<Instance> randomPeersExcept(String id, int count) {
    List<Instance> found = new ArrayList<>();
    List<Instance> pool = sameDomain.size() > count ? sameDomain : all;
    for (int i = 0; i < 2 * count && found.size() < count && !pool.isEmpty(); i++) {
      Instance peer = pool.get(random.nextInt(pool.size()));
      if (!peer.id().equals(id) && !found.contains(peer)) {
        found.add(peer);
      }
    }
    return found;
  }

  private void addRandom(List<Instance> targets, List<Instance> pool, int count) {
    int attempts = 3 * count;
    int targetSize = targets.size() + count;
    while (attempts-- > 0 && targets.size() < targetSize && !pool.isEmpty()) {
      Instance peer = pool.get(random.nextInt(pool.size()));
      if (!targets.contains(peer)) {
        targets.add(peer);
      }
    }
  }
}
