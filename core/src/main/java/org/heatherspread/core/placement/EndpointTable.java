package org.heatherspread.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.RegisteredEndpoint;

/**
 * All endpoints that registered. A registration that leaves ends new work at once; one that
 * vanishes does too, but for a grace while the store has just been away, when registrations lapse
 * without their endpoints having left. Confined to one thread.
 */
public final class EndpointTable {
  private final HealthPolicy health;
  private final ToLongFunction<String> cacheTokens;
  private final Map<String, TrackedEndpoint> byId = new HashMap<>();
  private final Map<String, List<TrackedEndpoint>> byService = new HashMap<>();

  private EndpointTable(HealthPolicy health, ToLongFunction<String> cacheTokens) {
    this.health = health;
    this.cacheTokens = cacheTokens;
  }

  /**
   * Creates an empty table.
   *
   * @param cacheTokens the memory of an endpoint of a service, in tokens
   */
  public static EndpointTable create(HealthPolicy health, ToLongFunction<String> cacheTokens) {
    return new EndpointTable(health, cacheTokens);
  }

  /** Takes in a registration; another birth or address is another life. */
  public void put(RegisteredEndpoint next) {
    TrackedEndpoint known = byId.get(next.id());
    if (known != null && sameLife(known.registration(), next)) {
      known.update(next);
      return;
    }
    if (known != null) {
      drop(known);
    }
    TrackedEndpoint tracked =
        TrackedEndpoint.create(next, health, cacheTokens.applyAsLong(next.service()));
    byId.put(next.id(), tracked);
    byService.computeIfAbsent(next.service(), service -> new ArrayList<>()).add(tracked);
  }

  private static boolean sameLife(RegisteredEndpoint one, RegisteredEndpoint other) {
    return one.startedAtMillis() == other.startedAtMillis()
        && one.address().equals(other.address())
        && one.service().equals(other.service());
  }

  /** Notes that a registration is gone; the endpoint is used until the time given. */
  public void missing(String id, long unusableAtMillis) {
    TrackedEndpoint known = byId.get(id);
    if (known != null) {
      known.missing(unusableAtMillis);
    }
  }

  /** Notes that only these registrations exist. */
  public void retain(Collection<String> present, long unusableAtMillis) {
    for (TrackedEndpoint endpoint : byId.values()) {
      if (!present.contains(endpoint.id())) {
        endpoint.missing(unusableAtMillis);
      }
    }
  }

  /** Forgets endpoints whose registrations are gone and whose requests have ended. */
  public List<RegisteredEndpoint> sweep(long nowMillis) {
    List<RegisteredEndpoint> gone = new ArrayList<>();
    for (TrackedEndpoint endpoint : List.copyOf(byId.values())) {
      if (endpoint.missing() && !endpoint.usable(nowMillis) && endpoint.running() == 0) {
        drop(endpoint);
        gone.add(endpoint.registration());
      }
    }
    return gone;
  }

  private void drop(TrackedEndpoint endpoint) {
    byId.remove(endpoint.id());
    byService.get(endpoint.registration().service()).remove(endpoint);
  }

  /** Replaces the loads that other daemons reported. */
  public void others(Map<String, EndpointLoad> loads) {
    for (TrackedEndpoint endpoint : byId.values()) {
      endpoint.others(loads.getOrDefault(endpoint.id(), EndpointLoad.NONE));
    }
  }

  /** Returns the load that this daemon puts on each endpoint that it uses. */
  public Map<String, EndpointLoad> ownLoads() {
    Map<String, EndpointLoad> loads = new HashMap<>();
    for (TrackedEndpoint endpoint : byId.values()) {
      if (endpoint.running() > 0) {
        loads.put(endpoint.id(), endpoint.ownLoad());
      }
    }
    return loads;
  }

  /** Returns an endpoint by its identity. */
  public Optional<TrackedEndpoint> get(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the endpoints of a service, also those that take no work. */
  public List<TrackedEndpoint> of(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns all endpoints. */
  public Collection<TrackedEndpoint> all() {
    return byId.values();
  }
}
