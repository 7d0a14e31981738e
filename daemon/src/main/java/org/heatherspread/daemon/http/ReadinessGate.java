package org.heatherspread.daemon.http;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Refuses new requests while the daemon is not ready or is leaving. Other paths, such as lookups of
 * requests accepted earlier, always pass. A leaving daemon that is ready still serves the address
 * list, so that callers can find other daemons.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ReadinessGate {
  private static final String CHAT_PREFIX = "/v1/chat/";
  private static final String SERVICES_PREFIX = "/v1/services/";
  private static final String ADDRESSES_PATH = "/v1/addresses";

  private final Supplier<Optional<String>> notReadyReason;
  private final BooleanSupplier leaving;
  private final ProblemResponses problems;

  private ReadinessGate(
      Supplier<Optional<String>> notReadyReason,
      BooleanSupplier leaving,
      ProblemResponses problems) {
    this.notReadyReason = notReadyReason;
    this.leaving = leaving;
    this.problems = problems;
  }

  /**
   * Creates a gate.
   *
   * @param notReadyReason returns why the daemon accepts no new requests, or empty
   * @param leaving returns whether the daemon is stopping or under notice
   */
  public static ReadinessGate create(
      Supplier<Optional<String>> notReadyReason,
      BooleanSupplier leaving,
      ProblemResponses problems) {
    return new ReadinessGate(notReadyReason, leaving, problems);
  }

  /** Returns a route that calls the inner one unless the request is refused. */
  public Route guard(Route inner) {
    return extractRequest(
        request -> {
          Optional<ServingException> refusal = refusal(request.getUri().path());
          return refusal.isEmpty() ? inner : complete(problems.toResponse(refusal.get()));
        });
  }

  private Optional<ServingException> refusal(String path) {
    boolean newRequest = path.startsWith(CHAT_PREFIX) || path.startsWith(SERVICES_PREFIX);
    if (newRequest && leaving.getAsBoolean()) {
      return Optional.of(
          ServingException.of(
              ErrorKind.DAEMON_LEAVING, "this daemon is leaving; ask for addresses again"));
    }
    if (!newRequest && !path.equals(ADDRESSES_PATH)) {
      return Optional.empty();
    }
    return notReadyReason.get().map(reason -> ServingException.of(ErrorKind.NOT_READY, reason));
  }
}
