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
public final class LeaseManager {
  private static final int CANDIDATES = 3;

  private final Instance self;
  private final LeaseSettings settings;
  private final TableStore store;
  private final MonotonicClock clock;
  private final Map<Scope, LeaseClient> leases = new ConcurrentHashMap<>();

  private LeaseManager(
      Instance self, LeaseSettings settings, TableStore store, MonotonicClock clock) {
    this.self = self;
    this.settings = settings;
    this.store = store;
    this.clock = clock;
  }

  /** Creates a board without leases. */
  public static LeaseManager create(
      Instance self, LeaseSettings settings, TableStore store, MonotonicClock clock) {
    return new LeaseManager(self, settings, store, clock);
  }

  /** The control work for one service in one region. Immutable. */
  public record Scope(String service, String region) {
    @Override
    public String toString() {
      return service + "@" + region;
    }
  }

  /** Renews, takes over, and gives up leases as is due. */
  void step(Configuration configuration, MembershipSnapshot members) {
    Map<Scope, Integer> ranks = ranks(configuration, members);
    ranks.forEach(
        (scope, rank) -> {
          LeaseClient lease = leases.get(scope);
          boolean holds = lease != null && lease.fencingToken().isPresent();
          if (rank < CANDIDATES || holds) {
            leases.computeIfAbsent(scope, this::newLease).step(rank);
          }
        });
    for (Scope scope : new HashSet<>(leases.keySet())) {
      if (!ranks.containsKey(scope)) {
        leases.remove(scope).release();
      }
    }
  }

  private LeaseClient newLease(Scope scope) {
    String name = self.id() + "#" + self.incarnation();
    return LeaseClient.create(
        scope.toString(), name, settings, store, clock, OperatorComponentFactory::randomId);
  }

  private Map<Scope, Integer> ranks(Configuration configuration, MembershipSnapshot members) {
    List<Member> alive = members.daemons().stream().filter(Member::takesNewWork).toList();
    Map<Scope, Integer> ranks = new HashMap<>();
    for (ServiceSpec service : configuration.services().values()) {
      Set<String> regions = new TreeSet<>();
      members.endpoints(service.name()).forEach(m -> regions.add(m.instance().domain().region()));
      for (String region : regions) {
        Scope scope = new Scope(service.name(), region);
        ranks.put(scope, rank(scope, alive));
      }
    }
    return ranks;
  }

  private int rank(Scope scope, List<Member> alive) {
    List<Member> local = new ArrayList<>();
    for (Member daemon : alive) {
      if (daemon.instance().domain().region().equals(scope.region())) {
        local.add(daemon);
      }
    }
    boolean outside = !local.isEmpty() && !self.domain().region().equals(scope.region());
    if (outside) {
      return CANDIDATES;
    }
    long hash = Hashing.of(scope.toString());
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

  /** Finds the keeper of some scope, if this daemon is a candidate. */
  public Optional<LeaseClient> findLease(String service, String region) {
    return Optional.ofNullable(leases.get(new Scope(service, region)));
  }

  /** Returns the work whose lease is held now. */
  public List<Scope> heldScopes() {
    List<Scope> held = new ArrayList<>();
    leases.forEach(
        (scope, lease) -> {
          if (lease.fencingToken().isPresent()) {
            held.add(scope);
          }
        });
    return held;
  }

  /** Gives all leases up. */
  CompletableFuture<Void> releaseAll() {
    CompletableFuture<?>[] releases =
        leases.values().stream().map(LeaseClient::release).toArray(CompletableFuture[]::new);
    leases.clear();
    return CompletableFuture.allOf(releases);
  }
}
