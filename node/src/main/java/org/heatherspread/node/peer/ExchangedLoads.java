package org.heatherspread.node.peer;

import java.util.Map;
import java.util.Set;
import org.heatherspread.core.fleet.EndpointLoad;

/**
 * What a domain reader tells other daemons in an exchange. Immutable.
 *
 * @param loads summed loads of daemons, by endpoint
 * @param silentDaemons daemons that should have exchanged loads and have not for some time
 */
record ExchangedLoads(Map<String, EndpointLoad> loads, Set<String> silentDaemons) {}
