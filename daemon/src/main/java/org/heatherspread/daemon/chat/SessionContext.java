package org.heatherspread.daemon.chat;

import java.util.random.RandomGenerator;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * Settings and collaborators of a session. Immutable; all components are thread-safe.
 *
 * @param settings settings of chat completions
 * @param engineClient client for engines
 * @param selector endpoint selector
 * @param retryBudget retry budget of the session's service
 * @param metrics metrics of chat completions
 * @param clock clock for durations and timeouts
 * @param random random source for jitter
 */
record SessionContext(
    ChatSettings settings,
    EngineClient engineClient,
    EndpointSelector selector,
    RetryBudget retryBudget,
    ChatMetrics metrics,
    MonotonicClock clock,
    RandomGenerator random) {}
