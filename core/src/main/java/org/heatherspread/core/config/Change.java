package org.heatherspread.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An elementary change of the configuration, as stored in the log. A change contains the resulting
 * state, so that replaying the log always produces the same configuration.
 *
 * <p>Immutable. A path such as {@code service/chat/version/v2} identifies the part of the
 * configuration that a change writes; it covers all paths below it.
 */
public sealed interface Change {
  /** Returns the path that this change writes. */
  String path();

  /** Returns the paths that must exist for this change to be valid. */
  default List<String> requiredPaths() {
    return List.of();
  }

  /** Applies this change to the maps; does nothing if its subject does not exist. */
  void apply(Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts);

  /** Creates or replaces a service. */
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

  /** Creates or replaces a client account. */
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

  /** Adds a model version to a service, or replaces the version with the same name. */
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

  /** Adds a failure domain in which a service must meet its latency target. */
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

  /** Removes a failure domain in which a service must meet its latency target. */
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

  /** Returns whether two changes from the same base version exclude each other. */
  static boolean conflicts(Change left, Change right) {
    return ConfigPath.overlap(left.path(), right.path())
        || writesRequiredPath(left, right)
        || writesRequiredPath(right, left);
  }

  private static boolean writesRequiredPath(Change change, Change dependent) {
    for (String path : dependent.requiredPaths()) {
      if (ConfigPath.covers(change.path(), path)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the configuration that results from changes applied in order. */
  static Configuration applyAll(Configuration base, List<Change> changes, long version) {
    Map<String, ServiceSpec> services = new HashMap<>(base.services());
    Map<String, AccountSpec> accounts = new HashMap<>(base.accounts());
    for (Change change : changes) {
      change.apply(services, accounts);
    }
    return new Configuration(version, services, accounts);
  }
}
