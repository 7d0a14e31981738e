package org.heatherspread.core.config;

import java.util.Map;

/**
 * One version of the confirmed configuration of a deployment. Immutable.
 *
 * @param version incremented by each confirmed plan; 0 is the empty configuration
 * @param services services by name
 * @param accounts client accounts by name
 */
public record Configuration(
    long version, Map<String, ServiceSpec> services, Map<String, AccountSpec> accounts) {

  /** Copies the maps, so that the record is immutable. */
  public Configuration {
    services = Map.copyOf(services);
    accounts = Map.copyOf(accounts);
  }

  /** Returns the configuration before the first confirmed plan. */
  public static Configuration empty() {
    return new Configuration(0, Map.of(), Map.of());
  }
}
