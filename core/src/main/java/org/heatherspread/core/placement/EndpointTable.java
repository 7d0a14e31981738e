package org.heatherspread.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.RegisteredEndpoint;

/**
 * Table of all registered endpoints. An endpoint receives no new requests once its registration
 * says that it is leaving. An endpoint whose registration is missing remains usable until a time
 * set by the caller, since registrations also lapse during a store outage while their endpoints
 * still run. An incarnation that gave notice and left is still leaving if its registration appears
 * again, as a store that was restored from an earlier copy may have it. Confined to one thread.
 */
public final class EndpointTable {
  /** Maximum number of incarnations that are remembered after they left. */
  private static final int MAX_DEPARTED = 1_000;

  private final HealthPolicy health;
  private final ToLongFunction<String> cacheTokens;
  private final boolean uneven;
  private final Map<String, TrackedEndpoint> byId = new HashMap<>();
  private final Map<String, List<TrackedEndpoint>> byService = new HashMap<>();

  /** The last incarnation of each endpoint that left after a notice, the earliest first. */
  private final Map<String, RegisteredEndpoint> departed = new LinkedHashMap<>();

  private EndpointTable(HealthPolicy health, ToLongFunction<String> cacheTokens, boolean uneven) {
    this.health = health;
    this.cacheTokens = cacheTokens;
    this.uneven = uneven;
  }

  /**
   * Creates an empty table.
   *
   * @param cacheTokens cache size of an endpoint of a service, in tokens
   */
  public static EndpointTable create(HealthPolicy health, ToLongFunction<String> cacheTokens) {
    return new EndpointTable(health, cacheTokens, false);
  }

  /**
   * Creates an empty table that also observes the speed and the failures of each endpoint and
   * shares them with other daemons.
   *
   * @param cacheTokens cache size of an endpoint of a service, in tokens
   */
  public static EndpointTable createUneven(
      HealthPolicy health, ToLongFunction<String> cacheTokens) {
    return new EndpointTable(health, cacheTokens, true);
  }

  /**
   * Adds or updates a registration. Another start time, address, service or version means a new
   * incarnation, which replaces the state of the previous one.
   */
  public void put(RegisteredEndpoint next) {
    TrackedEndpoint known = byId.get(next.id());
    if (known != null && sameIncarnation(known.registration(), next)) {
      known.update(next);
      return;
    }
    if (known != null) {
      remove(known);
    }
    TrackedEndpoint tracked =
        TrackedEndpoint.create(next, health, cacheTokens.applyAsLong(next.service()), uneven);
    RegisteredEndpoint left = departed.get(next.id());
    if (left != null && sameIncarnation(left, next)) {
      tracked.markLeaving();
    }
    byId.put(next.id(), tracked);
    byService.computeIfAbsent(next.service(), service -> new ArrayList<>()).add(tracked);
  }

  private static boolean sameIncarnation(RegisteredEndpoint left, RegisteredEndpoint right) {
    return left.startedAtMillis() == right.startedAtMillis()
        && left.address().equals(right.address())
        && left.service().equals(right.service())
        && left.version().equals(right.version());
  }

  /** Records that a registration is missing. The endpoint is used until the given time. */
  public void markMissing(String id, long unusableAtMillis) {
    TrackedEndpoint known = byId.get(id);
    if (known != null) {
      known.markMissing(unusableAtMillis);
    }
  }

  /** Marks every endpoint as missing whose id is not in {@code present}. */
  public void markMissingExcept(Collection<String> present, long unusableAtMillis) {
    for (TrackedEndpoint endpoint : byId.values()) {
      if (!present.contains(endpoint.id())) {
        endpoint.markMissing(unusableAtMillis);
      }
    }
  }

  /**
   * Removes and returns the endpoints whose registrations are missing, that are no longer usable
   * and whose requests have ended.
   */
  public List<RegisteredEndpoint> removeDrained(long nowMillis) {
    List<RegisteredEndpoint> removed = new ArrayList<>();
    for (TrackedEndpoint endpoint : List.copyOf(byId.values())) {
      if (endpoint.isMissing() && !endpoint.isUsable(nowMillis) && endpoint.running() == 0) {
        remove(endpoint);
        removed.add(endpoint.registration());
      }
    }
    return removed;
  }

  private void remove(TrackedEndpoint endpoint) {
    if (endpoint.gaveNotice() && endpoint.registration().startedAtMillis() > 0) {
      departed.remove(endpoint.id());
      departed.put(endpoint.id(), endpoint.registration());
    }
    if (departed.size() > MAX_DEPARTED) {
      departed.remove(departed.keySet().iterator().next());
    }
    byId.remove(endpoint.id());
    byService.get(endpoint.registration().service()).remove(endpoint);
  }

  /** Replaces the loads reported by other daemons. */
  public void updatePeerLoads(Map<String, EndpointLoad> loads, long nowMillis) {
    for (List<TrackedEndpoint> endpoints : byService.values()) {
      EndpointLoad sum = EndpointLoad.NONE;
      for (TrackedEndpoint endpoint : endpoints) {
        sum = sum.plus(loads.getOrDefault(endpoint.id(), EndpointLoad.NONE));
      }
      double count = Math.max(1, endpoints.size());
      double responses = Math.max(1, sum.outcomes().responses());
      for (TrackedEndpoint endpoint : endpoints) {
        endpoint.updatePeerLoad(
            new StaleLoad(
                loads.getOrDefault(endpoint.id(), EndpointLoad.NONE),
                sum.running() / count,
                sum.promptTokens() / count,
                sum.outcomes().logSlowness() / responses,
                sum.heldTokens() / count,
                nowMillis),
            nowMillis);
      }
    }
  }

  /**
   * Returns the load of this daemon at each endpoint, with the recent responses that it saw, for
   * frequent exchanges.
   */
  public Map<String, EndpointLoad> ownLoadsWithOutcomes(long nowMillis) {
    if (!uneven) {
      return ownLoads();
    }
    Map<String, EndpointLoad> loads = new HashMap<>();
    for (TrackedEndpoint endpoint : byId.values()) {
      EndpointLoad load = endpoint.ownLoadWithOutcomes(nowMillis);
      if (load.running() > 0 || !load.outcomes().isEmpty() || load.demand().tokens() > 0) {
        loads.put(endpoint.id(), load);
      }
    }
    return loads;
  }

  /** Returns the load that this daemon causes at each endpoint that it uses. */
  public Map<String, EndpointLoad> ownLoads() {
    Map<String, EndpointLoad> loads = new HashMap<>();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.running() > 0) {
        loads.put(endpoint.id(), endpoint.ownLoad());
      }
    }
    return loads;
  }

  /**
   * Returns the shared prefixes of prompts that requests of this daemon have added to the caches of
   * endpoints since the last call.
   */
  public List<CachedPrefix> takeNewPrefixes() {
    List<CachedPrefix> prefixes = new ArrayList<>();
    for (TrackedEndpoint endpoint : byId.values()) {
      endpoint
          .takeNewPrefixes()
          .forEach(prefix -> prefixes.add(new CachedPrefix(endpoint.id(), prefix)));
    }
    return prefixes;
  }

  /** Records a prefix that another daemon's request has added to the cache of an endpoint. */
  public void recordPeerPrefix(CachedPrefix prefix) {
    get(prefix.endpoint()).ifPresent(endpoint -> endpoint.recordPeerPrefix(prefix.segments()));
  }

  /** Returns the slots of all endpoints that are in use, by service and version. */
  public Map<String, Map<String, Integer>> slotsByVersion(long nowMillis) {
    Map<String, Map<String, Integer>> slots = new HashMap<>();
    for (TrackedEndpoint endpoint : byId.values()) {
      RegisteredEndpoint registration = endpoint.registration();
      if (endpoint.isUsable(nowMillis)) {
        slots
            .computeIfAbsent(registration.service(), service -> new HashMap<>())
            .merge(registration.version(), Math.max(1, registration.slots()), Integer::sum);
      }
    }
    return slots;
  }

  /** Returns the versions of the software of a service's endpoints, including leaving ones. */
  public Set<String> versions(String service) {
    Set<String> versions = new HashSet<>();
    forService(service).forEach(endpoint -> versions.add(endpoint.registration().version()));
    return versions;
  }

  /** Returns the ids of all endpoints. */
  public Set<String> ids() {
    return Set.copyOf(byId.keySet());
  }

  /** Returns the endpoint with an id. */
  public Optional<TrackedEndpoint> get(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the endpoints of a service, including those that accept no new requests. */
  public List<TrackedEndpoint> forService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns all endpoints, including those that accept no new requests. */
  public Collection<TrackedEndpoint> all() {
    return byId.values();
  }
}
