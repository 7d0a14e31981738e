package org.heatherspread.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One elementary change of the configuration, as the log keeps it. A change carries the state after
 * it, so that replaying the log gives the same configuration whatever made the change.
 *
 * <p>Immutable. Paths such as {@code service/chat/version/v2} name what a change touches; a path
 * covers all paths below it.
 */
public sealed interface Change {
  /** Returns the path that the change writes. */
  String path();

  /** Returns the paths that must still exist for the change to make sense. */
  default List<String> requiredPaths() {
    return List.of();
  }

  /** Applies the change; a change of something that does not exist leaves the maps as they are. */
  void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts);

  /** Creates a service or replaces it whole. */
  record PutService(ServiceSpec service) implements Change {
    @Override
    public String path() {
      return ConfigPath.service(service.name());
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      services.put(service.name(), service);
    }
  }

  /** Removes a service. */
  record RemoveService(String name) implements Change {
    @Override
    public String path() {
      return ConfigPath.service(name);
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      services.remove(name);
    }
  }

  /** Creates a client account or replaces it whole. */
  record PutAccount(AccountSpec account) implements Change {
    @Override
    public String path() {
      return ConfigPath.account(account.name());
    }

    @Override
    public List<String> requiredPaths() {
      return account.services().stream().map(ConfigPath::service).toList();
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      accounts.put(account.name(), account);
    }
  }

  /** Removes a client account. */
  record RemoveAccount(String name) implements Change {
    @Override
    public String path() {
      return ConfigPath.account(name);
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      accounts.remove(name);
    }
  }

  /** Adds a model version to a service, or replaces the version of the same name. */
  record PutVersion(String service, ModelVersion version) implements Change {
    @Override
    public String path() {
      return ConfigPath.version(service, version.version());
    }

    @Override
    public List<String> requiredPaths() {
      return List.of(ConfigPath.service(service));
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      services.computeIfPresent(service, (name, spec) -> spec.withVersion(version));
    }
  }

  /** Adds a failure domain to those in which a service keeps its target. */
  record AddDomain(String service, String domain) implements Change {
    @Override
    public String path() {
      return ConfigPath.domain(service, domain);
    }

    @Override
    public List<String> requiredPaths() {
      return List.of(ConfigPath.service(service));
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      services.computeIfPresent(service, (name, spec) -> spec.withDomain(domain));
    }
  }

  /** Takes a failure domain from those in which a service keeps its target. */
  record RemoveDomain(String service, String domain) implements Change {
    @Override
    public String path() {
      return ConfigPath.domain(service, domain);
    }

    @Override
    public List<String> requiredPaths() {
      return List.of(ConfigPath.service(service));
    }

    @Override
    public void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {
      services.computeIfPresent(service, (name, spec) -> spec.withoutDomain(domain));
    }
  }

  /** Tells whether two changes made from the same version cannot both be confirmed. */
  static boolean conflicts(Change left, Change right) {
    return ConfigPath.overlap(left.path(), right.path())
        || writesRequiredPath(left, right)
        || writesRequiredPath(right, left);
  }

  private static boolean writesRequiredPath(Change writer, Change reader) {
    for (String path : reader.requiredPaths()) {
      if (ConfigPath.covers(writer.path(), path)) {
        return true;
      }
    }
    return false;
  }

  /** Applies changes in order and gives the result a version. */
  static Configuration applyAll(Configuration base, List<Change> changes, long version) {
    Map<String, ServiceSpec> services = new HashMap<>(base.services());
    Map<String, AccountSpec> accounts = new HashMap<>(base.accounts());
    for (Change change : changes) {
      change.apply(services, accounts);
    }
    return new Configuration(version, services, accounts);
  }
}
