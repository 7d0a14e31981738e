package org.heatherspread.core.capacity;

import org.heatherspread.core.model.Market;

/**
 * A source of instances: one machine class of one market in one failure domain. Immutable.
 *
 * @param domain name of the failure domain
 * @param machineClass the platform's name of the machine class
 * @param market purchase model of the instances
 */
public record CapacityPool(String domain, String machineClass, Market market) {}
