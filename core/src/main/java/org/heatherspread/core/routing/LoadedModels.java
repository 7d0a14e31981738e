package org.heatherspread.core.routing;

import java.util.Set;

/**
 * The versions and adapters of its service that an endpoint has loaded. Immutable.
 *
 * @param known whether the endpoint has told; until then it is tried and may refuse
 * @param versions loaded versions
 * @param adapters loaded adapters
 */
public record LoadedModels(boolean known, Set<String> versions, Set<String> adapters) {
  private static final LoadedModels UNKNOWN = new LoadedModels(false, Set.of(), Set.of());

  /** Copies the sets, so that the record stays immutable. */
  public LoadedModels {
    versions = Set.copyOf(versions);
    adapters = Set.copyOf(adapters);
  }

  /** Returns what holds for plain services and for engines that have not told yet. */
  public static LoadedModels unknown() {
    return UNKNOWN;
  }

  /** Returns what an engine told. */
  public static LoadedModels of(Set<String> versions, Set<String> adapters) {
    return new LoadedModels(true, versions, adapters);
  }

  /** Tells whether a request can be answered; an empty requirement fits every endpoint. */
  public boolean canServe(String version, String adapter) {
    return !known
        || ((version.isEmpty() || versions.contains(version))
            && (adapter.isEmpty() || adapters.contains(adapter)));
  }
}
