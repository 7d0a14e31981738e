package org.heatherspread.core.config;

import java.util.List;

/** What an operator wants; the {@link Planner} turns it into a plan. Immutable. */
public sealed interface Intent {
  /** Creates a service or replaces it whole. */
  record PutService(ServiceSpec service) implements Intent {}

  /** Retires a service: no new requests, those in progress finish. */
  record RetireService(String service) implements Intent {}

  /** Creates a client account or replaces it whole. */
  record PutAccount(AccountSpec account) implements Intent {}

  /** Removes a client account: its key is refused, requests in progress finish. */
  record RemoveAccount(String account) implements Intent {}

  /** Adds a model version to a service. */
  record AddModelVersion(String service, String version, List<String> adapters) implements Intent {
    /** Copies the list; without one there are no adapters. */
    public AddModelVersion {
      adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }
  }

  /** Retires a model version: drained, never cut. */
  record RetireModelVersion(String service, String version) implements Intent {}

  /** Keeps a service answering in a failure domain within its target. */
  record KeepServing(String service, String domain) implements Intent {}

  /** No longer keeps a service answering in a failure domain. */
  record ReleaseDomain(String service, String domain) implements Intent {}
}
