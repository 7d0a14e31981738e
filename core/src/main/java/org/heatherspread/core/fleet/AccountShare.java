package org.heatherspread.core.fleet;

/**
 * One daemon's part in a client account's limit, in the account's unit a second.
 *
 * @param demand what callers ask of the daemon
 * @param share what the daemon may admit
 */
public record AccountShare(double demand, double share) {}
