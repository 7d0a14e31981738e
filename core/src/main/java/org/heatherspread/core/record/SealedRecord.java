package org.heatherspread.core.record;

/**
 * Record that a stopping witness hands over. Immutable.
 *
 * @param call the call
 * @param outcome a final outcome; {@code UNKNOWN} if the call was acknowledged and its owner has
 *     not reported an outcome
 */
public record SealedRecord(CallDescriptor call, CallOutcome outcome) {}
