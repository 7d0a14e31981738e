package org.heatherspread.core.stream;

/**
 * Where the first event of a stream came from. The stream may continue only at endpoints of the
 * same service and version. Immutable; sent to other daemons as JSON under the names of its
 * components.
 *
 * @param service service of the endpoint
 * @param version version of the endpoint's software
 */
public record StreamOrigin(String service, String version) {}
