package org.heatherspread.daemon.chat;

import static org.apache.pekko.http.javadsl.server.Directives.completeWithFuture;
import static org.apache.pekko.http.javadsl.server.Directives.concat;
import static org.apache.pekko.http.javadsl.server.Directives.delete;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;
import static org.apache.pekko.http.javadsl.server.Directives.get;
import static org.apache.pekko.http.javadsl.server.Directives.path;
import static org.apache.pekko.http.javadsl.server.Directives.pathPrefix;
import static org.apache.pekko.http.javadsl.server.Directives.post;
import static org.apache.pekko.http.javadsl.server.PathMatchers.segment;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.record.RequestRecords;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * HTTP API of model services: chat completions, the model list, and resuming, querying and
 * cancelling requests.
 *
 * <p>Thread-safe.
 */
public final class ChatComponent implements DaemonComponent {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private final DaemonContext context;
  private final AccountAuthenticator auth;
  private final ProblemResponses problems;
  private final ChatService service;
  private final StreamMigrationScheduler migrationScheduler;
  private Cancellable ticker;

  private ChatComponent(
      DaemonContext context,
      ChatSettings settings,
      AccountAuthenticator auth,
      ProblemResponses problems,
      ChatService service) {
    this.context = context;
    this.auth = auth;
    this.problems = problems;
    this.service = service;
    this.migrationScheduler =
        new StreamMigrationScheduler(
            context.membership(), context.clock(), context.wallClock(), settings);
  }

  /** Creates the component. */
  public static ChatComponent create(
      DaemonContext context,
      ChatSettings settings,
      AccountAuthenticator auth,
      ProblemResponses problems,
      EngineClient engineClient,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    ChatService service =
        ChatService.create(context, settings, engineClient, selector, admission, records);
    return new ChatComponent(context, settings, auth, problems, service);
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        pathPrefix(
            "v1",
            () ->
                concat(
                    pathPrefix(
                        "chat", () -> path("completions", () -> post(() -> handle(this::chat)))),
                    path("models", () -> get(() -> handle(this::models))),
                    pathPrefix("requests", this::requestRoutes))));
  }

  private Route requestRoutes() {
    return concat(
        path(
            segment(),
            id ->
                concat(
                    get(() -> handle(r -> service.findOutcome(id, auth.authenticate(r)))),
                    delete(() -> handle(r -> service.cancel(id, auth.authenticate(r)))))),
        path(
            segment().slash("stream"),
            id -> get(() -> handle(r -> service.resume(r, id, auth.authenticate(r))))));
  }

  private CompletionStage<HttpResponse> chat(HttpRequest request) {
    return service.chat(request, auth.authenticate(request));
  }

  private CompletionStage<HttpResponse> models(HttpRequest request) {
    return CompletableFuture.completedFuture(service.listModels(auth.authenticate(request)));
  }

  private Route handle(Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    return extractRequest(request -> completeWithFuture(invoke(request, handler)));
  }

  private CompletionStage<HttpResponse> invoke(
      HttpRequest request, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    Supplier<CompletionStage<HttpResponse>> call = () -> handler.apply(request);
    try {
      return call.get().exceptionally(this::toErrorResponse);
    } catch (RuntimeException e) {
      request.discardEntityBytes(context.system());
      return CompletableFuture.completedFuture(toErrorResponse(e));
    }
  }

  private HttpResponse toErrorResponse(Throwable failure) {
    return RequestFailedException.toResponse(failure, problems);
  }

  @Override
  public void start() {
    ticker =
        context
            .system()
            .scheduler()
            .scheduleAtFixedRate(
                TICK_INTERVAL, TICK_INTERVAL, this::tick, context.system().executionContext());
  }

  private void tick() {
    migrationScheduler.scheduleMoves(service.sessions());
    service.tick();
  }

  @Override
  public CompletableFuture<Void> drain(Duration timeout) {
    return service.drain(timeout);
  }

  @Override
  public void close() {
    if (ticker != null) {
      ticker.cancel();
    }
  }
}
