package org.heatherspread.daemon.http;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.concat;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;
import static org.apache.pekko.http.javadsl.server.Directives.handleExceptions;
import static org.apache.pekko.http.javadsl.server.Directives.handleRejections;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.ExceptionHandler;
import org.apache.pekko.http.javadsl.server.MethodRejection;
import org.apache.pekko.http.javadsl.server.Rejection;
import org.apache.pekko.http.javadsl.server.RejectionHandler;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.daemon.settings.HttpSettings;

/**
 * Runs the HTTP server for callers and operators. Exceptions and rejections of all routes are
 * converted to problem responses.
 *
 * <p>Stateless; the returned binding is safe for use by any thread.
 */
public final class HttpFrontend {
  private HttpFrontend() {}

  /** Returns the Pekko configuration of the server. */
  public static Config serverConfig(HttpSettings settings) {
    return ConfigFactory.parseMap(
        Map.of(
            "pekko.http.server.request-timeout",
            "infinite",
            "pekko.http.server.idle-timeout",
            settings.idleTimeout().toMillis() + "ms",
            "pekko.http.server.max-connections",
            settings.maxConnections(),
            "pekko.http.server.parsing.max-content-length",
            settings.maxBodyBytes(),
            "pekko.http.server.server-header",
            "heatherspread",
            "pekko.http.server.raw-request-uri-header",
            "off",
            "pekko.http.server.backlog",
            1_024));
  }

  /** Binds the routes to an address. */
  public static CompletionStage<ServerBinding> bind(
      ActorSystem<?> system, String host, int port, List<Route> routes, ProblemResponses problems) {
    return Http.get(system).newServerAt(host, port).bind(seal(routes, problems));
  }

  /** Concatenates the routes and handles their exceptions and rejections. */
  static Route seal(List<Route> routes, ProblemResponses problems) {
    Route first = routes.get(0);
    Route joined = concat(first, routes.subList(1, routes.size()).toArray(Route[]::new));
    ExceptionHandler exceptions =
        ExceptionHandler.newBuilder()
            .match(
                EntityStreamSizeException.class,
                e ->
                    refuse(
                        problems, ErrorKind.BODY_TOO_LARGE, "request body exceeds the size limit"))
            .matchAny(e -> complete(problems.toResponse(e)))
            .build();
    RejectionHandler rejections =
        RejectionHandler.newBuilder()
            .handleAll(
                MethodRejection.class,
                rejected ->
                    refuse(
                        problems,
                        ErrorKind.METHOD_NOT_ALLOWED,
                        "the path supports only " + supportedMethods(rejected)))
            .handle(
                Rejection.class,
                rejection -> refuse(problems, ErrorKind.MALFORMED_REQUEST, "request is malformed"))
            .handleNotFound(
                extractRequest(
                    request -> refuse(problems, ErrorKind.NOT_FOUND, "no resource at this path")))
            .build();
    return handleExceptions(exceptions, () -> handleRejections(rejections, () -> joined));
  }

  private static Route refuse(ProblemResponses problems, ErrorKind kind, String detail) {
    return complete(problems.toResponse(ServingException.of(kind, detail)));
  }

  /** Stops accepting connections and waits up to a time limit for responses in progress. */
  public static CompletionStage<?> stop(ServerBinding binding, Duration timeout) {
    return binding.terminate(timeout);
  }

  private static String supportedMethods(List<MethodRejection> rejections) {
    StringBuilder names = new StringBuilder();
    for (MethodRejection rejection : rejections) {
      names.append(names.isEmpty() ? "" : ", ").append(rejection.supported().name());
    }
    return names.toString();
  }
}
