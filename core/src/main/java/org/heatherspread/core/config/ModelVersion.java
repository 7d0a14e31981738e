package org.heatherspread.core.config;

import java.util.List;

/**
 * One version of a model service and the adapters it is loaded with. Immutable.
 *
 * @param version the version's name, unique within the service
 * @param adapters names of the adapters that callers may ask for
 * @param state where the version is in its life
 */
public record ModelVersion(String version, List<String> adapters, VersionState state) {
  /** Copies the list, where absent as empty, so that the record stays immutable. */
  public ModelVersion {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
    state = state == null ? VersionState.ACTIVE : state;
  }
}
