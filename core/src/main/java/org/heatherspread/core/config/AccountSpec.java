package org.heatherspread.core.config;

import java.util.List;

/**
 * A client account in the confirmed configuration. Immutable.
 *
 * @param name name of the account
 * @param keyHash lower-case hex SHA-256 of the account's API key; the key itself is never stored
 * @param limits limits of the account
 * @param priority requests of a higher priority are served first and dropped last
 * @param services names of the services that it may call; empty for all
 */
public record AccountSpec(
    String name, String keyHash, AccountLimits limits, int priority, List<String> services) {

  /** Copies the list, so that the record is immutable; null becomes an empty list. */
  public AccountSpec {
    services = services == null ? List.of() : List.copyOf(services);
  }

  /** Returns whether the account may call a service. */
  public boolean mayCall(String service) {
    return services.isEmpty() || services.contains(service);
  }
}
