package org.heatherspread.core.order;

import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;

/**
 * What an endpoint holds, or is to hold. Immutable.
 *
 * @param models the model versions, loaded or loading
 * @param role the endpoint's role
 */
public record EndpointState(List<EndpointModel> models, String role) {
  /** Copies the list, so that the record stays immutable. */
  public EndpointState {
    models = List.copyOf(models);
  }

  /**
   * Works out what an endpoint of a service is to hold: each active version, and a retiring one as
   * long as it is still loaded, so that its requests are never cut.
   */
  public EndpointState desiredFor(ServiceSpec service) {
    List<EndpointModel> wanted = new ArrayList<>();
    for (ModelVersion version : service.versions()) {
      EndpointModel model =
          new EndpointModel(service.name(), version.version(), version.adapters());
      boolean retiringHere =
          version.state() == VersionState.RETIRING
              && models.stream().anyMatch(m -> m.version().equals(version.version()));
      if (version.state() == VersionState.ACTIVE || retiringHere) {
        wanted.add(model);
      }
    }
    return new EndpointState(wanted, role);
  }

  /** Tells whether this state fulfils what is desired, with nothing left over of its services. */
  public boolean satisfies(EndpointState desired) {
    for (EndpointModel wanted : desired.models) {
      if (models.stream().noneMatch(wanted::isSatisfiedBy)) {
        return false;
      }
    }
    for (EndpointModel held : models) {
      if (!desired.models.isEmpty()
          && desired.models.stream().noneMatch(wanted -> wanted.isSatisfiedBy(held))) {
        return false;
      }
    }
    return role.equals(desired.role);
  }
}
