package org.heatherspread.core.order;

import java.util.List;

/** A model version and the adapters that an endpoint has, or is to have, loaded. Immutable. */
public record EndpointModel(String service, String version, List<String> adapters) {
  private static final String ANY_VERSION = "*";

  /** Copies the list; null becomes the empty list. */
  public EndpointModel {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /** Returns whether a loaded model serves as this one; some engines serve any version. */
  public boolean isSatisfiedBy(EndpointModel loaded) {
    if (!service.equals(loaded.service)) {
      return false;
    }
    return loaded.version.equals(ANY_VERSION)
        || (version.equals(loaded.version) && loaded.adapters.containsAll(adapters));
  }
}
