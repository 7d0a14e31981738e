package org.heatherspread.core.serving;

/**
 * An endpoint as described by its own registration. Immutable.
 *
 * @param id identity that the endpoint expects in requests
 * @param service service that it serves
 * @param address address that requests are sent to
 * @param domain failure domain
 * @param slots maximum number of concurrent requests
 * @param leaving whether it is draining and accepts no new work
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param remainingMillis time until it shuts down, counted from the registration; -1 if unknown
 * @param version version of its software; what endpoints of different versions generate does not
 *     fit together
 * @param startedAtMillis start time in milliseconds since the epoch, 0 if unknown; a changed value
 *     means that the endpoint was restarted
 */
public record RegisteredEndpoint(
    String id,
    String service,
    HostPort address,
    String domain,
    int slots,
    boolean leaving,
    boolean reclaimable,
    long remainingMillis,
    String version,
    long startedAtMillis) {}
