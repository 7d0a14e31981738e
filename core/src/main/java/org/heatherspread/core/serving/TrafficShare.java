package org.heatherspread.core.serving;

/** The part of a route's requests that goes to one service; weights are relative. */
public record TrafficShare(String service, double weight) {}
