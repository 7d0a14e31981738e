package org.heatherspread.core.serving;

/**
 * The share of a route's requests that is sent to one service. Immutable.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route
 */
public record TrafficShare(String service, double weight) {}
