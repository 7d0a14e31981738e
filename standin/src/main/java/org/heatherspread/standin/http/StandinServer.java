package org.heatherspread.standin.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves a stand-in over HTTP from {@link #start} to {@link #close}, which is called once.
 *
 * <p>Thread-safe.
 */
public final class StandinServer implements AutoCloseable {
  private static final String CONFIG_OVERRIDES =
      """
      pekko.loglevel = WARNING
      pekko.daemonic = off
      pekko.actor.default-dispatcher.fork-join-executor.parallelism-min = 2
      pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 4
      pekko.http.server.idle-timeout = 600s
      pekko.http.server.request-timeout = infinite
      pekko.http.server.max-connections = 8192
      pekko.http.server.backlog = 1024
      pekko.http.server.server-header = ""
      pekko.http.server.parsing.illegal-header-warnings = off
      """;

  private final ActorSystem<Void> system;
  private final Standin standin;
  private final ServerBinding binding;

  private StandinServer(ActorSystem<Void> system, Standin standin, ServerBinding binding) {
    this.system = system;
    this.standin = standin;
    this.binding = binding;
  }

  /** Starts a server; port 0 selects a free port. */
  public static StandinServer start(
      String host, int port, Function<ActorSystem<Void>, Standin> factory) {
    Config config = ConfigFactory.parseString(CONFIG_OVERRIDES).withFallback(ConfigFactory.load());
    ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "standin", config);
    try {
      Standin standin = factory.apply(system);
      org.apache.pekko.japi.function.Function<HttpRequest, CompletionStage<HttpResponse>> handler =
          request -> handleSafely(standin, request, system);
      ServerBinding binding =
          Http.get(system).newServerAt(host, port).bind(handler).toCompletableFuture().join();
      return new StandinServer(system, standin, binding);
    } catch (RuntimeException e) {
      system.terminate();
      throw e;
    }
  }

  /** Returns the port to which the server is bound. */
  public int port() {
    return binding.localAddress().getPort();
  }

  private static CompletionStage<HttpResponse> handleSafely(
      Standin standin, HttpRequest request, ActorSystem<Void> system) {
    CompletionStage<HttpResponse> response;
    try {
      response = standin.handle(request);
    } catch (RuntimeException e) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(toErrorResponse(e));
    }
    return response.exceptionally(StandinServer::toErrorResponse);
  }

  private static HttpResponse toErrorResponse(Throwable throwable) {
    Throwable cause = throwable instanceof CompletionException ? throwable.getCause() : throwable;
    int status = cause instanceof BadRequestException ? 400 : 500;
    return JsonHttp.errorResponse(status, String.valueOf(cause.getMessage()));
  }

  @Override
  public void close() {
    standin.close();
    system.terminate();
  }
}
