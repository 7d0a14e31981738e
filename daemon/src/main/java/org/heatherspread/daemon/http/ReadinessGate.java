package org.heatherspread.daemon.http;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;

import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Refuses new work while the daemon may not act on its configuration. Questions about requests that
 * were accepted earlier pass.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ReadinessGate {
  private static final String CHAT = "/v1/chat/";
  private static final String SERVICES = "/v1/services/";
  private static final String ADDRESSES = "/v1/addresses";

  private final Supplier<Optional<String>> notReadyBecause;
  private final ProblemAnswers problems;

  private ReadinessGate(Supplier<Optional<String>> notReadyBecause, ProblemAnswers problems) {
    this.notReadyBecause = notReadyBecause;
    this.problems = problems;
  }

  /** Creates a gate that is open while the supplier names no reason. */
  public static ReadinessGate create(
      Supplier<Optional<String>> notReadyBecause, ProblemAnswers problems) {
    return new ReadinessGate(notReadyBecause, problems);
  }

  /** Returns the route behind the gate. */
  public Route guard(Route inner) {
    return extractRequest(
        request -> {
          Optional<String> reason = newWork(request) ? notReadyBecause.get() : Optional.empty();
          if (reason.isEmpty()) {
            return inner;
          }
          return complete(problems.answer(ServingException.of(ErrorKind.NOT_READY, reason.get())));
        });
  }

  private static boolean newWork(HttpRequest request) {
    String path = request.getUri().path();
    return path.startsWith(CHAT) || path.startsWith(SERVICES) || path.equals(ADDRESSES);
  }
}
