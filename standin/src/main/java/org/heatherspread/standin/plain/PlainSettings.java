package org.heatherspread.standin.plain;

/**
 * The settings of a stand-in plain service. Immutable.
 *
 * @param id id of the instance on the platform
 * @param readMillis execution time of GET and HEAD requests
 * @param writeMillis execution time of all other requests
 * @param seed seed of the random faults
 */
public record PlainSettings(String id, int readMillis, int writeMillis, long seed) {}
