package org.heatherspread.core.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/** One version of the confirmed configuration, indexed for lookups. Immutable and thread-safe. */
public final class ServingConfig {
  private final long version;
  private final Map<String, Map<String, Route>> routes;
  private final Map<String, ServiceConfig> services;
  private final Map<String, AccountConfig> accountsByKey;
  private final List<AccountConfig> accounts;
  private final ClientLimits limits;
  private final Map<String, TreeMap<Integer, Integer>> targetsByService;

  private ServingConfig(
      long version,
      Map<String, Map<String, Route>> routes,
      Map<String, ServiceConfig> services,
      Map<String, AccountConfig> accountsByKey,
      List<AccountConfig> accounts,
      ClientLimits limits,
      Map<String, TreeMap<Integer, Integer>> targetsByService) {
    this.targetsByService = targetsByService;
    this.version = version;
    this.routes = routes;
    this.services = services;
    this.accountsByKey = accountsByKey;
    this.accounts = accounts;
    this.limits = limits;
  }

  /** Creates a version of the configuration. */
  public static ServingConfig create(
      long version,
      Collection<Route> routes,
      Collection<ServiceConfig> services,
      List<AccountConfig> accounts,
      ClientLimits limits) {
    Map<String, Map<String, Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
    Map<String, ServiceConfig> byName = new HashMap<>();
    for (ServiceConfig service : services) {
      byName.put(service.name(), service);
    }
    Map<String, AccountConfig> byKey = new HashMap<>();
    for (AccountConfig account : accounts) {
      for (String key : account.keys()) {
        byKey.put(key, account);
      }
    }
    return new ServingConfig(
        version, byHost, byName, byKey, List.copyOf(accounts), limits, shortestTargets(routes));
  }

  /** Returns the shortest target of each priority that has one, by service. */
  private static Map<String, TreeMap<Integer, Integer>> shortestTargets(Collection<Route> routes) {
    Map<String, TreeMap<Integer, Integer>> targets = new HashMap<>();
    for (Route route : routes) {
      if (route.targetMillis() <= 0) {
        continue;
      }
      for (TrafficShare share : route.shares()) {
        targets
            .computeIfAbsent(share.service(), service -> new TreeMap<>())
            .merge(route.priority(), route.targetMillis(), Math::min);
      }
    }
    return targets;
  }

  /**
   * Returns the shortest target latency of the routes to a service that are more urgent than a
   * priority.
   */
  public OptionalInt shortestUrgentTargetMillis(String service, int priority) {
    return targetsByService
        .getOrDefault(service, new TreeMap<>())
        .headMap(priority)
        .values()
        .stream()
        .mapToInt(Integer::intValue)
        .min();
  }

  /** Returns the version number, which increases with each change. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers' requests. */
  public ClientLimits limits() {
    return limits;
  }

  /** Returns whether client accounts exist; without any, requests need no key. */
  public boolean hasAccounts() {
    return !accounts.isEmpty();
  }

  /** Returns all client accounts. */
  public List<AccountConfig> accounts() {
    return accounts;
  }

  /** Finds a client account by one of its keys. */
  public Optional<AccountConfig> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /** Finds a service by name. */
  public Optional<ServiceConfig> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public Collection<ServiceConfig> services() {
    return services.values();
  }

  /**
   * Finds the route with the longest matching prefix.
   *
   * @param host value of the Host header, with or without a port, in any letter case
   * @param target request target with path and optional query
   */
  public Optional<Route> route(String host, String target) {
    Map<String, Route> routesOfHost = routes.get(normalizeHost(host));
    if (routesOfHost == null) {
      return Optional.empty();
    }
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routesOfHost.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  private static String normalizeHost(String host) {
    int port = host.lastIndexOf(':');
    String bare = port < 0 ? host : host.substring(0, port);
    return bare.toLowerCase(Locale.ROOT);
  }
}
