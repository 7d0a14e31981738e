package org.heatherspread.node.peer;

import java.util.Optional;
import org.heatherspread.core.stream.StreamOrigin;

/**
 * What a daemon knows of the origin of a stream. Immutable.
 *
 * @param known the origin as recorded when the stream began
 * @param inferred the only origin that the versions in use allow, as far as this daemon sees them;
 *     empty if the origin is known
 */
record OriginReply(Optional<StreamOrigin> known, Optional<StreamOrigin> inferred) {}
