package org.heatherspread.daemon.http;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.concat;
import static org.apache.pekko.http.javadsl.server.Directives.get;
import static org.apache.pekko.http.javadsl.server.Directives.path;
import static org.apache.pekko.http.javadsl.server.PathMatchers.segment;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.daemon.DaemonComponent;

/**
 * Serves the liveness check, the readiness check and the metrics.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class HealthComponent implements DaemonComponent {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final PrometheusMeterRegistry meters;
  private final List<ReadinessCheck> checks;

  private HealthComponent(PrometheusMeterRegistry meters, List<ReadinessCheck> checks) {
    this.meters = meters;
    this.checks = List.copyOf(checks);
  }

  /** Creates the component; the daemon is ready if no check returns a reason. */
  public static HealthComponent create(
      PrometheusMeterRegistry meters, List<ReadinessCheck> checks) {
    return new HealthComponent(meters, checks);
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        concat(
            path(segment("health").slash("live"), () -> get(() -> complete(text(OK, "live\n")))),
            path(segment("health").slash("ready"), () -> get(() -> complete(readiness()))),
            path("metrics", () -> get(() -> complete(text(OK, meters.scrape()))))));
  }

  private HttpResponse readiness() {
    for (ReadinessCheck check : checks) {
      Optional<String> reason = check.notReadyReason();
      if (reason.isPresent()) {
        return text(UNAVAILABLE, reason.get() + "\n");
      }
    }
    return text(OK, "ready\n");
  }

  private static HttpResponse text(int status, String body) {
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, body));
  }

  /** A condition for accepting new requests. Implementations are safe for use by any thread. */
  @FunctionalInterface
  public interface ReadinessCheck {
    /** Returns why the daemon accepts no new requests, or empty if the condition holds. */
    Optional<String> notReadyReason();
  }
}
