package org.heatherspread.core.serving;

/**
 * An endpoint as it registered itself.
 *
 * @param id identity that the endpoint checks requests against
 * @param domain its failure domain
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param reclaimable whether it may be taken away at short notice
 * @param remainingMillis time left at the registration, -1 if not known
 * @param startedAtMillis Unix time of its start, 0 if not stated; another start is another life
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
    long startedAtMillis) {}
