package org.heatherspread.core.request;

import java.util.Set;
import org.heatherspread.core.retry.RetryReason;

/**
 * Action that the state machine requests from its driver. The driver answers an action that has a
 * step number by an event with the same number; events for earlier steps are ignored.
 */
public sealed interface RequestAction {
  /** Select an endpoint; answered by {@code onSelected} or {@code onNoEndpoint}. */
  record Select(int step, Set<String> excluded) implements RequestAction {}

  /**
   * Send the request to an endpoint; answered by {@code onStarted}, {@code onFailed} or {@code
   * onRejected}.
   *
   * @param step step number that the answering event carries
   * @param attempt attempt number, from 1
   * @param endpoint instance id
   * @param offset number of response tokens delivered so far, from which the engine continues
   * @param kvId the imported KV cache, or empty
   */
  record Start(int step, int attempt, String endpoint, long offset, String kvId)
      implements RequestAction {}

  /** Reopen the stream of an attempt after an offset; answered as {@link Start} is. */
  record Resume(int step, int attempt, String endpoint, long offset) implements RequestAction {}

  /**
   * Export the KV cache of the current attempt; answered by {@code onExported} or {@code onFailed}.
   */
  record Export(int step, String endpoint) implements RequestAction {}

  /** Import an exported KV cache; answered by {@code onImported} or {@code onFailed}. */
  record Import(int step, String endpoint, String kvId, String source) implements RequestAction {}

  /** Close the connection of the current attempt, if one is open. */
  record Disconnect() implements RequestAction {}

  /** Cancel an attempt at its endpoint, which frees its resources; not answered. */
  record Cancel(int attempt, String endpoint) implements RequestAction {}

  /**
   * Report an attempt that ended without a complete response, for metrics and the endpoint
   * selector.
   */
  record AttemptFailed(int attempt, String endpoint, RetryReason reason) implements RequestAction {}

  /** Complete the request; always the last action. */
  record Finish(RequestOutcome outcome) implements RequestAction {}
}
