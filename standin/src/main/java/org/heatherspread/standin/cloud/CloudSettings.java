package org.heatherspread.standin.cloud;

/**
 * The settings of the stand-in cloud. Immutable.
 *
 * @param lagMillis age of the instance list
 * @param startMillis time from the start of an instance until it is live
 * @param seed seed of the random refusals of starts
 */
public record CloudSettings(int lagMillis, int startMillis, long seed) {}
