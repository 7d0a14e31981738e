package org.heatherspread.core.config;

import java.util.List;

/**
 * A configuration change requested by an operator, for which a {@link Planner} makes a plan.
 * Immutable.
 */
public sealed interface Intent {
  /** Creates or replaces a service. */
  record PutService(ServiceSpec service) implements Intent {}

  /** Retires a service: new requests are refused, those in progress finish. */
  record RetireService(String service) implements Intent {}

  /** Creates or replaces a client account. */
  record PutAccount(AccountSpec account) implements Intent {}

  /** Removes a client account: its key is refused, requests in progress finish. */
  record RemoveAccount(String account) implements Intent {}

  /** Adds a model version to a service. */
  record AddModelVersion(String service, String version, List<String> adapters) implements Intent {
    /** Copies the list, so that the record is immutable; null becomes an empty list. */
    public AddModelVersion {
      adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }
  }

  /** Retires a model version: requests in progress finish before it is unloaded. */
  record RetireModelVersion(String service, String version) implements Intent {}

  /** Requires a service to meet its latency target in a failure domain. */
  record KeepServing(String service, String domain) implements Intent {}

  /** No longer requires a service to meet its latency target in a failure domain. */
  record ReleaseDomain(String service, String domain) implements Intent {}
}
