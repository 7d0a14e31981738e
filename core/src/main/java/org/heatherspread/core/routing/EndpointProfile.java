package org.heatherspread.core.routing;

import org.heatherspread.core.model.FailureDomain;

/**
 * What an endpoint is and serves. Immutable.
 *
 * @param id instance id
 * @param incarnation the process on the instance
 * @param domain failure domain that holds it
 * @param machineClass endpoints of one class have the same speed
 * @param pricePerHour price in the deployment's currency
 * @param reclaimsPerHour expected reclaims an hour; 0 for an on-demand instance
 * @param models what it has loaded
 */
public record EndpointProfile(
    String id,
    long incarnation,
    FailureDomain domain,
    String machineClass,
    double pricePerHour,
    double reclaimsPerHour,
    LoadedModels models) {}
