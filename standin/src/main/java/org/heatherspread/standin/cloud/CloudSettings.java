package org.heatherspread.standin.cloud;

/**
 * How the stand-in cloud behaves. Immutable.
 *
 * @param lagMillis age of the instance list
 * @param startMillis time from a start to the live state
 * @param seed seed of refused starts
 */
public record CloudSettings(int lagMillis, int startMillis, long seed) {}
