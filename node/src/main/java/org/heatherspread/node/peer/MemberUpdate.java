package org.heatherspread.node.peer;

import java.util.Map;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Batch;
import org.heatherspread.core.fleet.FactLog.Position;

/**
 * What a daemon tells the reader of its group in an exchange. Immutable.
 *
 * @param daemon name of the daemon
 * @param loads the daemon's own loads, by endpoint
 * @param facts the daemon's own facts that the reader does not have yet
 * @param received position up to which the daemon has received facts from the reader
 */
record MemberUpdate(
    String daemon, Map<String, EndpointLoad> loads, Batch facts, Position received) {}
