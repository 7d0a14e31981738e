package org.heatherspread.core.routing;

import java.util.Set;
import org.heatherspread.core.model.FailureDomain;

/**
 * What is fixed about an endpoint while it serves a model version. Immutable.
 *
 * @param id instance id
 * @param incarnation the process on the instance
 * @param domain failure domain that holds it
 * @param machineClass endpoints of one class have the same speed
 * @param pricePerHour price in the deployment's currency
 * @param reclaimsPerHour expected reclaims an hour; 0 for an on-demand instance
 * @param version model version loaded; empty for a plain service or an unknown version
 * @param adapters adapters loaded
 */
public record EndpointProfile(
    String id,
    long incarnation,
    FailureDomain domain,
    String machineClass,
    double pricePerHour,
    double reclaimsPerHour,
    String version,
    Set<String> adapters) {

  /** Copies the set, so that the record stays immutable. */
  public EndpointProfile {
    adapters = Set.copyOf(adapters);
  }

  /** Tells whether the endpoint can answer; an empty requirement fits every endpoint. */
  public boolean serves(String wantedVersion, String wantedAdapter) {
    return (wantedVersion.isEmpty() || version.isEmpty() || wantedVersion.equals(version))
        && (wantedAdapter.isEmpty() || adapters.contains(wantedAdapter));
  }
}
