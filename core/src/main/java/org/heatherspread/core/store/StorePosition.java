package org.heatherspread.core.store;

/**
 * A position in the history of the store. Immutable.
 *
 * <p>If the store is restored from an earlier copy, it assigns versions again that it had assigned
 * before. Positions of different eras cannot be compared.
 *
 * @param era number of restores, 0 if the store does not state it
 * @param version newest transaction within the era
 */
public record StorePosition(long era, long version) {}
