package org.heatherspread.core.record;

/**
 * A record that a stopping witness hands over. Immutable.
 *
 * @param call the call
 * @param outcome a final outcome; {@code UNKNOWN} where the call was acknowledged and its owner has
 *     not reported
 */
public record SealedRecord(CallDescriptor call, CallOutcome outcome) {}
