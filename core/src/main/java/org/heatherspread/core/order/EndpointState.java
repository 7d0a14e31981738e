package org.heatherspread.core.order;

import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;

/**
 * Actual or desired state of an endpoint. Immutable.
 *
 * @param models models that are loaded or being loaded
 * @param role role of the endpoint
 */
public record EndpointState(List<EndpointModel> models, String role) {
  /** Copies the list. */
  public EndpointState {
    models = List.copyOf(models);
  }

  /**
   * Returns the desired state of this endpoint of a service: every active version, and retiring
   * versions that are still loaded, so that their requests are not interrupted.
   */
  public EndpointState desiredFor(ServiceSpec service) {
    List<EndpointModel> required = new ArrayList<>();
    for (ModelVersion version : service.versions()) {
      EndpointModel model =
          new EndpointModel(service.name(), version.version(), version.adapters());
      boolean loadedAndRetiring =
          version.state() == VersionState.RETIRING
              && models.stream().anyMatch(m -> m.version().equals(version.version()));
      if (version.state() == VersionState.ACTIVE || loadedAndRetiring) {
        required.add(model);
      }
    }
    return new EndpointState(required, role);
  }

  /**
   * Returns whether this state contains the desired models and role, and, unless no models are
   * desired, no other models.
   */
  public boolean satisfies(EndpointState desired) {
    for (EndpointModel required : desired.models) {
      if (models.stream().noneMatch(required::isSatisfiedBy)) {
        return false;
      }
    }
    for (EndpointModel loaded : models) {
      if (!desired.models.isEmpty()
          && desired.models.stream().noneMatch(required -> required.isSatisfiedBy(loaded))) {
        return false;
      }
    }
    return role.equals(desired.role);
  }
}
