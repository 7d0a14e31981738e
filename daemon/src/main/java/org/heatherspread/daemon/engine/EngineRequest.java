package org.heatherspread.daemon.engine;

/**
 * One attempt as it is sent to an engine. Immutable; the body must not be changed.
 *
 * @param requestId the request id
 * @param attempt number of the attempt
 * @param priority higher is served first
 * @param remainingMillis time left until the deadline
 * @param body JSON body, with {@code continue_from} where the attempt goes on from another
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineRequest(
    String requestId, int attempt, int priority, long remainingMillis, byte[] body) {}
