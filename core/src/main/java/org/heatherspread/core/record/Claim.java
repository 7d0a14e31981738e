package org.heatherspread.core.record;

/**
 * Row of the table service for an idempotency key: the call that holds the key and its outcome.
 * Immutable.
 *
 * @param call the call that holds the key
 * @param outcome {@code IN_PROGRESS} until the owner has reported an outcome
 */
public record Claim(CallDescriptor call, CallOutcome outcome) {}
