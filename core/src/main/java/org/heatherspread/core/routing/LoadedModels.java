package org.heatherspread.core.routing;

import java.util.Set;

/**
 * The versions and adapters of its service that an endpoint has loaded. Immutable.
 *
 * @param known whether the endpoint has reported its models; until then it receives any request and
 *     may refuse it
 * @param versions loaded versions
 * @param adapters loaded adapters
 */
public record LoadedModels(boolean known, Set<String> versions, Set<String> adapters) {
  private static final LoadedModels UNKNOWN = new LoadedModels(false, Set.of(), Set.of());

  /** Copies the sets to keep the record immutable. */
  public LoadedModels {
    versions = Set.copyOf(versions);
    adapters = Set.copyOf(adapters);
  }

  /** Returns the value for plain services and for engines that have not reported yet. */
  public static LoadedModels unknown() {
    return UNKNOWN;
  }

  /** Returns the models reported by an engine. */
  public static LoadedModels of(Set<String> versions, Set<String> adapters) {
    return new LoadedModels(true, versions, adapters);
  }

  /**
   * Returns whether the endpoint can serve a request; an empty version or adapter matches every
   * endpoint.
   */
  public boolean canServe(String version, String adapter) {
    return !known
        || ((version.isEmpty() || versions.contains(version))
            && (adapter.isEmpty() || adapters.contains(adapter)));
  }
}
