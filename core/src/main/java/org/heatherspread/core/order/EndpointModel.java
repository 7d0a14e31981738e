package org.heatherspread.core.order;

import java.util.List;

/** A model version and the adapters that an endpoint is to hold. Immutable. */
public record EndpointModel(String service, String version, List<String> adapters) {
  private static final String ANY_VERSION = "*";

  /** Copies the list, where absent as empty, so that the record stays immutable. */
  public EndpointModel {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /** Tells whether something loaded serves for this; an engine may serve any version. */
  public boolean isSatisfiedBy(EndpointModel loaded) {
    if (!service.equals(loaded.service)) {
      return false;
    }
    return loaded.version.equals(ANY_VERSION)
        || (version.equals(loaded.version) && loaded.adapters.containsAll(adapters));
  }
}
