package org.heatherspread.bench.process;

/**
 * How many processes a fleet has; they go round the failure domains. Immutable.
 *
 * @param daemons daemons
 * @param engines model engines
 * @param plain plain services
 * @param domains failure domains that are used
 * @param engineOptions further options of each engine, separated by spaces
 */
public record FleetLayout(int daemons, int engines, int plain, int domains, String engineOptions) {}
