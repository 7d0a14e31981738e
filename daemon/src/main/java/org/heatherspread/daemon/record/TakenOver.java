package org.heatherspread.daemon.record;

/**
 * A record that this daemon now owns. Immutable.
 *
 * @param request the record as it was found
 * @param handle the new owner's hold on it
 */
public record TakenOver(RequestRecord request, RecordHandle handle) {}
