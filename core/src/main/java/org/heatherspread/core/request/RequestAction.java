package org.heatherspread.core.request;

import java.util.Set;
import org.heatherspread.core.retry.RetryReason;

/**
 * What the state machine asks its driver to do. An action with a step number is answered by an
 * event with the same number; answers to earlier steps are ignored.
 */
public sealed interface RequestAction {
  /** Choose an endpoint; answered by {@code onSelected} or {@code onNoEndpoint}. */
  record Select(int step, Set<String> excluded) implements RequestAction {}

  /**
   * Send the request; answered by {@code onStarted} or a failure.
   *
   * @param step number that the answer carries
   * @param attempt number of the attempt, from 1
   * @param endpoint instance id
   * @param offset answer tokens delivered so far, where the engine is to go on
   * @param kvId the imported KV cache, or empty
   */
  record Start(int step, int attempt, String endpoint, long offset, String kvId)
      implements RequestAction {}

  /** Open the stream of an attempt anew after an offset; answered as {@link Start} is. */
  record Resume(int step, int attempt, String endpoint, long offset) implements RequestAction {}

  /** Export the KV cache of the current attempt; answered by {@code onExported} or a failure. */
  record Export(int step, String endpoint) implements RequestAction {}

  /** Import an exported KV cache; answered by {@code onImported} or a failure. */
  record Import(int step, String endpoint, String kvId, String source) implements RequestAction {}

  /** Close the connection of the current attempt, if one is open. */
  record Disconnect() implements RequestAction {}

  /** Free an attempt at its endpoint; not answered. */
  record Cancel(int attempt, String endpoint) implements RequestAction {}

  /** An attempt ended without an answer; for counters and the selector. */
  record AttemptFailed(int attempt, String endpoint, RetryReason reason) implements RequestAction {}

  /** The request has ended; the last action. */
  record Finish(RequestOutcome outcome) implements RequestAction {}
}
