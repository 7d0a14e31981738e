package org.heatherspread.bench.process;

/**
 * The number of processes of each kind in a fleet. Each kind is assigned to the failure domains in
 * round-robin order. Immutable.
 *
 * @param daemons number of daemons
 * @param engines number of model engines
 * @param plainServices number of plain services
 * @param domains number of failure domains in use
 * @param engineOptions additional command-line options of each engine, separated by spaces
 */
public record FleetLayout(
    int daemons, int engines, int plainServices, int domains, String engineOptions) {}
