package org.heatherspread.daemon.chat;

import java.util.random.RandomGenerator;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * What every session of a daemon shares. Immutable; all members are safe for use by any thread.
 *
 * @param settings bounds
 * @param engineClient calls engines
 * @param selector chooses endpoints
 * @param retryBudget retry budget of the session's service
 * @param metrics counters
 * @param clock for intervals
 * @param random for jitter
 */
record SessionContext(
    ChatSettings settings,
    EngineClient engineClient,
    EndpointSelector selector,
    RetryBudget retryBudget,
    ChatMetrics metrics,
    MonotonicClock clock,
    RandomGenerator random) {}
