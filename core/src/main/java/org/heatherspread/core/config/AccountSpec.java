package org.heatherspread.core.config;

import java.util.List;

/**
 * A client account as operators confirmed it. Immutable.
 *
 * @param name the account's name
 * @param keyHash lower-case hex SHA-256 of the account's API key; the key itself is never kept
 * @param limits what the account may use
 * @param priority requests of a higher priority are served first and dropped last
 * @param services names of the services it may call; empty for all
 */
public record AccountSpec(
    String name, String keyHash, AccountLimits limits, int priority, List<String> services) {

  /** Copies the list, where absent as empty, so that the record stays immutable. */
  public AccountSpec {
    services = services == null ? List.of() : List.copyOf(services);
  }

  /** Tells whether the account may call a service. */
  public boolean mayCall(String service) {
    return services.isEmpty() || services.contains(service);
  }
}
