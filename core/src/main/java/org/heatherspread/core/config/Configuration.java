package org.heatherspread.core.config;

import java.util.Map;

/**
 * The whole confirmed configuration of a deployment at one version. Immutable.
 *
 * @param version grows by one with each confirmed change; 0 is the empty configuration
 * @param services services by name
 * @param accounts client accounts by name
 */
public record Configuration(
    long version, Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {

  /** Copies the maps, so that the record stays immutable. */
  public Configuration {
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /** Returns the configuration before the first confirmed change. */
  public static Configuration empty() {
    return new Configuration(0, Map.of(), Map.of());
  }
}
