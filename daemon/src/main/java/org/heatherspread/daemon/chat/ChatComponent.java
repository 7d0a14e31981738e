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
import org.heatherspread.daemon.http.AccountAuth;
import org.heatherspread.daemon.http.ProblemAnswers;
import org.heatherspread.daemon.limit.Admission;
import org.heatherspread.daemon.record.RequestRecords;
import org.heatherspread.daemon.routing.EndpointSelector;

/**
 * The callers' interface to model services: chat completions, models, and resuming, asking about
 * and cancelling requests.
 *
 * <p>Safe for use by any thread.
 */
public final class ChatComponent implements DaemonComponent {
  private static final Duration TICK = Duration.ofMillis(100);

  private final DaemonContext context;
  private final AccountAuth accounts;
  private final ProblemAnswers problems;
  private final ChatService service;
  private final LeavingEndpoints leaving;
  private Cancellable ticker;

  private ChatComponent(
      DaemonContext context,
      ChatSettings settings,
      AccountAuth accounts,
      ProblemAnswers problems,
      ChatService service) {
    this.context = context;
    this.accounts = accounts;
    this.problems = problems;
    this.service = service;
    this.leaving =
        new LeavingEndpoints(context.membership(), context.clock(), context.wallClock(), settings);
  }

  /** Creates the component with the parts that it works with. */
  public static ChatComponent create(
      DaemonContext context,
      ChatSettings settings,
      AccountAuth accounts,
      ProblemAnswers problems,
      EngineClient engines,
      EndpointSelector selector,
      Admission admission,
      RequestRecords records) {
    ChatService service =
        ChatService.create(context, settings, engines, selector, admission, records);
    return new ChatComponent(context, settings, accounts, problems, service);
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        pathPrefix(
            "v1",
            () ->
                concat(
                    pathPrefix(
                        "chat", () -> path("completions", () -> post(() -> answer(this::chat)))),
                    path("models", () -> get(() -> answer(this::models))),
                    pathPrefix("requests", this::requests))));
  }

  private Route requests() {
    return concat(
        path(
            segment(),
            id ->
                concat(
                    get(() -> answer(r -> service.outcome(id, accounts.authenticate(r)))),
                    delete(() -> answer(r -> service.cancel(id, accounts.authenticate(r)))))),
        path(
            segment().slash("stream"),
            id -> get(() -> answer(r -> service.resume(r, id, accounts.authenticate(r))))));
  }

  private CompletionStage<HttpResponse> chat(HttpRequest request) {
    return service.chat(request, accounts.authenticate(request));
  }

  private CompletionStage<HttpResponse> models(HttpRequest request) {
    return CompletableFuture.completedFuture(service.models(accounts.authenticate(request)));
  }

  private Route answer(Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    return extractRequest(request -> completeWithFuture(guarded(request, handler)));
  }

  private CompletionStage<HttpResponse> guarded(
      HttpRequest request, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    Supplier<CompletionStage<HttpResponse>> answer = () -> handler.apply(request);
    try {
      return answer.get().exceptionally(this::problem);
    } catch (RuntimeException e) {
      request.discardEntityBytes(context.system());
      return CompletableFuture.completedFuture(problem(e));
    }
  }

  private HttpResponse problem(Throwable failure) {
    return RequestFailure.answer(failure, problems);
  }

  @Override
  public void start() {
    ticker =
        context
            .system()
            .scheduler()
            .scheduleAtFixedRate(TICK, TICK, this::tick, context.system().executionContext());
  }

  private void tick() {
    leaving.check(service.sessions());
    service.tick();
  }

  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    return service.drain(bound);
  }

  @Override
  public void close() {
    if (ticker != null) {
      ticker.cancel();
    }
  }
}
