package org.heatherspread.core.record;

/**
 * What the table service keeps for an idempotency key: which request holds the key, and how that
 * ended. Immutable.
 *
 * @param call the request that holds the key
 * @param outcome {@code IN_PROGRESS} until its owner reported an outcome
 */
public record Claim(CallDescriptor call, CallOutcome outcome) {}
