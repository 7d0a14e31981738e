package org.heatherspread.core.routing;

import org.heatherspread.core.model.FailureDomain;

/**
 * Describes an endpoint and the models that it serves. Immutable.
 *
 * @param id instance id
 * @param incarnation incarnation of the process on the instance
 * @param domain failure domain of the instance
 * @param machineClass machine class; endpoints of one class share a {@link SpeedModel}
 * @param pricePerHour price in the deployment's currency
 * @param reclaimsPerHour expected reclaims per hour; 0 for an on-demand instance
 * @param models models that the endpoint has loaded
 */
public record EndpointProfile(
    String id,
    long incarnation,
    FailureDomain domain,
    String machineClass,
    double pricePerHour,
    double reclaimsPerHour,
    LoadedModels models) {}
