package org.heatherspread.bench.process;

/**
 * How many processes a fleet has; they go round the failure domains. Immutable.
 *
 * @param daemons daemons
 * @param engines model engines
 * @param plainServices plain services
 * @param domains failure domains that are used
 * @param engineOptions further options of each engine, separated by spaces
 */
public record FleetLayout(
    int daemons, int engines, int plainServices, int domains, String engineOptions) {}
