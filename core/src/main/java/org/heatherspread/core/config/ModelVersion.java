package org.heatherspread.core.config;

import java.util.List;

/**
 * A version of a model service with its adapters. Immutable.
 *
 * @param version name of the version, unique within the service
 * @param adapters names of the adapters that callers can request
 * @param state lifecycle state
 */
public record ModelVersion(String version, List<String> adapters, VersionState state) {
  /**
   * Copies the list, so that the record is immutable. Null becomes an empty list, or {@link
   * VersionState#ACTIVE} for the state.
   */
  public ModelVersion {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
    state = state == null ? VersionState.ACTIVE : state;
  }
}
