package org.heatherspread.standin.plain;

/**
 * How a stand-in plain service behaves. Immutable.
 *
 * @param id the platform's id of the instance
 * @param readMillis run time of GET and HEAD calls
 * @param writeMillis run time of all other calls
 * @param seed seed of the random faults
 */
public record PlainSettings(String id, int readMillis, int writeMillis, long seed) {}
