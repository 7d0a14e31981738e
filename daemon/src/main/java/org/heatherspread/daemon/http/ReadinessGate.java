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
 * Refuses new work while the daemon may not act on its configuration, or is leaving. Questions
 * about requests that were accepted earlier pass, and a leaving daemon still tells addresses.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ReadinessGate {
  private static final String CHAT = "/v1/chat/";
  private static final String SERVICES = "/v1/services/";
  private static final String ADDRESSES = "/v1/addresses";

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
   * @param notReadyReason why no new work may be taken, or empty
   * @param leaving whether the daemon is stopping or under notice
   */
  public static ReadinessGate create(
      Supplier<Optional<String>> notReadyReason,
      BooleanSupplier leaving,
      ProblemResponses problems) {
    return new ReadinessGate(notReadyReason, leaving, problems);
  }

  /** Returns the route behind the gate. */
  public Route guard(Route inner) {
    return extractRequest(
        request -> {
          Optional<ServingException> refusal = refusal(request.getUri().path());
          return refusal.isEmpty() ? inner : complete(problems.toResponse(refusal.get()));
        });
  }

  private Optional<ServingException> refusal(String path) {
    boolean work = path.startsWith(CHAT) || path.startsWith(SERVICES);
    if (work && leaving.getAsBoolean()) {
      return Optional.of(
          ServingException.of(
              ErrorKind.DAEMON_LEAVING, "this daemon is leaving; ask for addresses again"));
    }
    if (!work && !path.equals(ADDRESSES)) {
      return Optional.empty();
    }
    return notReadyReason.get().map(reason -> ServingException.of(ErrorKind.NOT_READY, reason));
  }
}
