package org.heatherspread.daemon.engine;

/**
 * One attempt, as sent to an engine. Immutable; the body must not be modified.
 *
 * @param requestId request id
 * @param attempt attempt number
 * @param priority higher values are served first
 * @param remainingMillis time until the deadline
 * @param body JSON body; contains {@code continue_from} if the attempt continues a response
 */
@SuppressWarnings("ArrayRecordComponent")
public record EngineRequest(
    String requestId, int attempt, int priority, long remainingMillis, byte[] body) {}
