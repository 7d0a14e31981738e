package org.heatherspread.core.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the confirmed configuration, indexed for look-ups. Immutable. */
public final class ServingConfig {
  private final long version;
  private final Map<String, Map<String, Route>> routes;
  private final Map<String, ServiceConfig> services;
  private final Map<String, AccountConfig> accountsByKey;
  private final List<AccountConfig> accounts;
  private final ClientLimits limits;

  private ServingConfig(
      long version,
      Map<String, Map<String, Route>> routes,
      Map<String, ServiceConfig> services,
      Map<String, AccountConfig> accountsByKey,
      List<AccountConfig> accounts,
      ClientLimits limits) {
    this.version = version;
    this.routes = routes;
    this.services = services;
    this.accountsByKey = accountsByKey;
    this.accounts = accounts;
    this.limits = limits;
  }

  /** Creates and indexes a version. */
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
    return new ServingConfig(version, byHost, byName, byKey, List.copyOf(accounts), limits);
  }

  /** Returns the version; a later one is greater. */
  public long version() {
    return version;
  }

  /** Returns the limits on what callers send. */
  public ClientLimits limits() {
    return limits;
  }

  /** Tells whether requests need a key at all. */
  public boolean hasAccounts() {
    return !accounts.isEmpty();
  }

  /** Returns all client accounts. */
  public List<AccountConfig> accounts() {
    return accounts;
  }

  /** Returns the client account that holds a key. */
  public Optional<AccountConfig> account(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  /** Returns a service. */
  public Optional<ServiceConfig> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public Collection<ServiceConfig> services() {
    return services.values();
  }

  /**
   * Finds the route of the longest prefix.
   *
   * @param host the Host header, with or without a port, in any case
   * @param target path and query
   */
  public Optional<Route> route(String host, String target) {
    Map<String, Route> ofHost = routes.get(bareHost(host));
    if (ofHost == null) {
      return Optional.empty();
    }
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = ofHost.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      if (end == 0) {
        break;
      }
    }
    return Optional.empty();
  }

  private static String bareHost(String host) {
    int port = host.lastIndexOf(':');
    String bare = port < 0 ? host : host.substring(0, port);
    return bare.toLowerCase(Locale.ROOT);
  }
}
