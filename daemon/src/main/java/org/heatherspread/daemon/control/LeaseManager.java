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
 * Manages the leases for which this daemon is a candidate, one for each service and region.
 * Rendezvous hashing over the live daemons of the region ranks the candidates, so that leases are
 * distributed evenly and only the highest-ranked daemons read a row.
 *
 * <p>Thread-safe; calls of {@link #step} must not overlap.
 */
public final class LeaseManager {
  private static final int MAX_CANDIDATES = 3;

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

  /** Creates a manager without leases. */
  public static LeaseManager create(
      Instance self, LeaseSettings settings, TableStore store, MonotonicClock clock) {
    return new LeaseManager(self, settings, store, clock);
  }

  /** The service and region that a lease covers; its text is the name of the lease. Immutable. */
  public record Scope(String service, String region) {
    @Override
    public String toString() {
      return service + "@" + region;
    }
  }

  /**
   * Renews and takes over leases that are due, and releases those of scopes that no longer exist.
   */
  void step(Configuration configuration, MembershipSnapshot members) {
    Map<Scope, Integer> ranks = rankScopes(configuration, members);
    ranks.forEach(
        (scope, rank) -> {
          LeaseClient lease = leases.get(scope);
          boolean isHeld = lease != null && lease.fencingToken().isPresent();
          if (rank < MAX_CANDIDATES || isHeld) {
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

  private Map<Scope, Integer> rankScopes(Configuration configuration, MembershipSnapshot members) {
    List<Member> liveDaemons = members.daemons().stream().filter(Member::takesNewWork).toList();
    Map<Scope, Integer> ranks = new HashMap<>();
    for (ServiceSpec service : configuration.services().values()) {
      Set<String> regions = new TreeSet<>();
      members.endpoints(service.name()).forEach(m -> regions.add(m.instance().domain().region()));
      for (String region : regions) {
        Scope scope = new Scope(service.name(), region);
        ranks.put(scope, rank(scope, liveDaemons));
      }
    }
    return ranks;
  }

  private int rank(Scope scope, List<Member> liveDaemons) {
    List<Member> inRegion = new ArrayList<>();
    for (Member daemon : liveDaemons) {
      if (daemon.instance().domain().region().equals(scope.region())) {
        inRegion.add(daemon);
      }
    }
    boolean isOutsideRegion = !inRegion.isEmpty() && !self.domain().region().equals(scope.region());
    if (isOutsideRegion) {
      return MAX_CANDIDATES;
    }
    long scopeHash = Hashing.of(scope.toString());
    long ownScore = Hashing.mix(scopeHash, Hashing.of(self.id()));
    int higherRanked = 0;
    for (Member daemon : inRegion.isEmpty() ? liveDaemons : inRegion) {
      String id = daemon.instance().id();
      if (!id.equals(self.id()) && Hashing.mix(scopeHash, Hashing.of(id)) > ownScore) {
        higherRanked++;
      }
    }
    return higherRanked;
  }

  /** Returns the client of a lease if this daemon is or was a candidate for it. */
  public Optional<LeaseClient> findLease(String service, String region) {
    return Optional.ofNullable(leases.get(new Scope(service, region)));
  }

  /** Returns the scopes whose leases this daemon currently holds. */
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

  /** Releases all leases. */
  CompletableFuture<Void> releaseAll() {
    CompletableFuture<?>[] releases =
        leases.values().stream().map(LeaseClient::release).toArray(CompletableFuture[]::new);
    leases.clear();
    return CompletableFuture.allOf(releases);
  }
}
