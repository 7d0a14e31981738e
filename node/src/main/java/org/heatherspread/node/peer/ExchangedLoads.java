package org.heatherspread.node.peer;

import java.util.Map;
import java.util.Set;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Batch;

/**
 * What the reader of a group tells other daemons in an exchange. Immutable.
 *
 * @param loads summed loads of daemons, by endpoint
 * @param silentDaemons daemons that should have exchanged loads and have not for some time
 * @param facts facts of other daemons that the receiver does not have yet
 */
record ExchangedLoads(Map<String, EndpointLoad> loads, Set<String> silentDaemons, Batch facts) {}
