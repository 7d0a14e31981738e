package org.heatherspread.core.routing;

import java.util.Set;
import org.heatherspread.core.config.LatencyTarget;

/**
 * The properties of a request that routing depends on. Immutable; callers must not modify the hash
 * array.
 *
 * @param hashes chained hashes of the prompt's complete blocks; empty for a plain service
 * @param promptTokens prompt tokens, plus the answer tokens already delivered if a stream is
 *     migrated
 * @param answerTokens expected answer tokens
 * @param target latency target of the service
 * @param version required model version; empty for any
 * @param adapter required adapter; empty for none
 * @param domain preferred failure domain; empty for none
 * @param priority above zero, the price of an endpoint is ignored
 * @param excluded ids of instances that must not be used, such as those that just failed
 */
@SuppressWarnings("ArrayRecordComponent")
public record RoutingRequest(
    long[] hashes,
    int promptTokens,
    int answerTokens,
    LatencyTarget target,
    String version,
    String adapter,
    String domain,
    int priority,
    Set<String> excluded) {

  /** Creates a request without optional requirements. */
  public static RoutingRequest of(
      long[] hashes, int promptTokens, int answerTokens, LatencyTarget target) {
    return new RoutingRequest(hashes, promptTokens, answerTokens, target, "", "", "", 0, Set.of());
  }

  /** Returns a copy that must not be sent to the given instances. */
  public RoutingRequest withExcluded(Set<String> ids) {
    return new RoutingRequest(
        hashes, promptTokens, answerTokens, target, version, adapter, domain, priority, ids);
  }

  /** Returns a copy that prefers a failure domain. */
  public RoutingRequest withDomain(String name) {
    return new RoutingRequest(
        hashes, promptTokens, answerTokens, target, version, adapter, name, priority, excluded);
  }

  /** Returns a copy that requires a version and an adapter; empty for any. */
  public RoutingRequest withModel(String wantedVersion, String wantedAdapter) {
    return new RoutingRequest(
        hashes,
        promptTokens,
        answerTokens,
        target,
        wantedVersion,
        wantedAdapter,
        domain,
        priority,
        excluded);
  }
}
