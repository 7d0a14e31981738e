package org.heatherspread.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.core.membership.Hashing;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.time.MonotonicClock;

/**
 * The leases of one daemon, one for each service and region. Rendezvous hashing on the daemons
 * alive in the region ranks the candidates, so that leases are spread evenly and only the first few
 * daemons look at a row.
 *
 * <p>Safe for use by any thread; {@link #step} is called by one at a time.
 */
public final class LeaseBoard {
  private static final int CANDIDATES = 3;

  private final Instance self;
  private final LeaseSettings settings;
  private final TableStore store;
  private final MonotonicClock clock;
  private final Map<Work, LeaseClient> keepers = new ConcurrentHashMap<>();

  private LeaseBoard(
      Instance self, LeaseSettings settings, TableStore store, MonotonicClock clock) {
    this.self = self;
    this.settings = settings;
    this.store = store;
    this.clock = clock;
  }

  /** Creates a board without leases. */
  public static LeaseBoard create(
      Instance self, LeaseSettings settings, TableStore store, MonotonicClock clock) {
    return new LeaseBoard(self, settings, store, clock);
  }

  /** The control work for one service in one region. Immutable. */
  public record Work(String service, String region) {
    @Override
    public String toString() {
      return service + "@" + region;
    }
  }

  /** Renews, takes over, and gives up leases as is due. */
  void step(Configuration configuration, MembershipSnapshot members) {
    Map<Work, Integer> ranks = ranks(configuration, members);
    ranks.forEach(
        (work, rank) -> {
          LeaseClient keeper = keepers.get(work);
          boolean holds = keeper != null && keeper.fencingToken().isPresent();
          if (rank < CANDIDATES || holds) {
            keepers.computeIfAbsent(work, this::newKeeper).step(rank);
          }
        });
    for (Work work : new HashSet<>(keepers.keySet())) {
      if (!ranks.containsKey(work)) {
        keepers.remove(work).release();
      }
    }
  }

  private LeaseClient newKeeper(Work work) {
    String name = self.id() + "#" + self.incarnation();
    return LeaseClient.create(
        work.toString(), name, settings, store, clock, ControlFactory::randomId);
  }

  private Map<Work, Integer> ranks(Configuration configuration, MembershipSnapshot members) {
    List<Member> alive = members.daemons().stream().filter(Member::takesNewWork).toList();
    Map<Work, Integer> ranks = new HashMap<>();
    for (ServiceSpec service : configuration.services().values()) {
      Set<String> regions = new TreeSet<>();
      members.endpoints(service.name()).forEach(m -> regions.add(m.instance().domain().region()));
      for (String region : regions) {
        Work work = new Work(service.name(), region);
        ranks.put(work, rank(work, alive));
      }
    }
    return ranks;
  }

  private int rank(Work work, List<Member> alive) {
    List<Member> local = new ArrayList<>();
    for (Member daemon : alive) {
      if (daemon.instance().domain().region().equals(work.region())) {
        local.add(daemon);
      }
    }
    boolean outside = !local.isEmpty() && !self.domain().region().equals(work.region());
    if (outside) {
      return CANDIDATES;
    }
    long hash = Hashing.of(work.toString());
    long own = Hashing.mix(hash, Hashing.of(self.id()));
    int better = 0;
    for (Member daemon : local.isEmpty() ? alive : local) {
      String id = daemon.instance().id();
      if (!id.equals(self.id()) && Hashing.mix(hash, Hashing.of(id)) > own) {
        better++;
      }
    }
    return better;
  }

  // ---------------------------------------------------------------------------------------------
  // Results
  // ---------------------------------------------------------------------------------------------

  /** Finds the keeper of some work, if this daemon is a candidate. */
  public Optional<LeaseClient> keeper(String service, String region) {
    return Optional.ofNullable(keepers.get(new Work(service, region)));
  }

  /** Returns the work whose lease is held now. */
  public List<Work> held() {
    List<Work> held = new ArrayList<>();
    keepers.forEach(
        (work, keeper) -> {
          if (keeper.fencingToken().isPresent()) {
            held.add(work);
          }
        });
    return held;
  }

  /** Gives all leases up. */
  CompletableFuture<Void> releaseAll() {
    CompletableFuture<?>[] releases =
        keepers.values().stream().map(LeaseClient::release).toArray(CompletableFuture[]::new);
    keepers.clear();
    return CompletableFuture.allOf(releases);
  }
}
