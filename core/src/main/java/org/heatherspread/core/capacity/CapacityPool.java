package org.heatherspread.core.capacity;

import org.heatherspread.core.model.Market;

/**
 * What can be bought: one machine class of one market in one failure domain. Immutable.
 *
 * @param domain name of the failure domain
 * @param poolClass the platform's name for the size
 * @param market how it is bought
 */
public record CapacityPool(String domain, String machineClass, Market market) {}
