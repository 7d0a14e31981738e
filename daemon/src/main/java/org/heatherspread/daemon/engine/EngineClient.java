package org.heatherspread.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.javadsl.Sink;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.retry.RetryReason;
import scala.concurrent.duration.FiniteDuration;

/**
 * HTTP client for model engines with pooled connections; see section 2 of {@code
 * docs/INTERFACES.md}. Only cancellations are retried.
 *
 * <p>Cancelling a stream closes its connection, so that a suspect connection is never reused.
 * Control requests use a separate pool, because a pool can assign a request to a connection that is
 * being closed.
 *
 * <p>Thread-safe. Failures of an engine or connection are reported as {@link EngineException}.
 */
public final class EngineClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_CONTENT_TOO_LARGE = 413;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int HTTP_SERVER_ERROR = 500;
  private static final long BODY_READ_TIMEOUT_MILLIS = 2_000;
  private static final int MAX_BODY_BYTES = 65_536;
  private static final int MAX_CONTROL_CONNECTIONS = 64;
  private static final int MAX_CANCEL_ATTEMPTS = 4;
  private static final Executor CANCEL_RETRY_EXECUTOR =
      CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ActorSystem<?> system;
  private final Http http;
  private final ConnectionPoolSettings streamPool;
  private final ConnectionPoolSettings controlPool;

  private EngineClient(
      ActorSystem<?> system,
      ConnectionPoolSettings streamPool,
      ConnectionPoolSettings controlPool) {
    this.system = system;
    this.http = Http.get(system);
    this.streamPool = streamPool;
    this.controlPool = controlPool;
  }

  /** Creates a client; connections are opened on first use. */
  public static EngineClient create(ActorSystem<?> system, EngineClientSettings settings) {
    return new EngineClient(
        system,
        poolSettings(system, settings, settings.maxConnectionsPerEndpoint()),
        poolSettings(system, settings, MAX_CONTROL_CONNECTIONS));
  }

  /** Returns the settings of a connection pool. Pools of different sizes share no connections. */
  private static ConnectionPoolSettings poolSettings(
      ActorSystem<?> system, EngineClientSettings settings, int connections) {
    ConnectionPoolSettings defaults = ConnectionPoolSettings.create(system.classicSystem());
    return defaults
        .withMaxConnections(connections)
        .withMaxOpenRequests(Integer.highestOneBit(connections) * 2)
        .withMaxRetries(0)
        .withConnectionSettings(
            defaults
                .getConnectionSettings()
                .withConnectingTimeout(
                    FiniteDuration.fromNanos(settings.connectTimeout().toNanos()))
                .withIdleTimeout(FiniteDuration.fromNanos(settings.idleTimeout().toNanos())));
  }

  /** Sends an attempt. The future completes when the engine accepts or rejects it. */
  public CompletableFuture<EngineResponse> start(String baseUrl, EngineRequest engineRequest) {
    HttpRequest request =
        HttpRequest.POST(baseUrl + "/v1/chat/completions")
            .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, engineRequest.body()))
            .addHeaders(
                List.of(
                    header("X-Request-Id", engineRequest.requestId()),
                    header("X-Attempt", Integer.toString(engineRequest.attempt())),
                    header("X-Priority", Integer.toString(engineRequest.priority())),
                    header("X-Deadline-Ms", Long.toString(engineRequest.remainingMillis()))));
    return send(request, streamPool).thenCompose(this::toEngineResponse);
  }

  /** Reopens the stream of an attempt after an offset. */
  public CompletableFuture<EngineResponse> resume(
      String baseUrl, String requestId, int attempt, long offset) {
    String path = "/v1/streams/" + requestId + "?attempt=" + attempt + "&offset=" + offset;
    return send(HttpRequest.GET(baseUrl + path), streamPool).thenCompose(this::toEngineResponse);
  }

  /** Cancels an attempt. Completion means only that the engine received the cancellation. */
  public CompletableFuture<Void> cancel(String baseUrl, String requestId, int attempt) {
    String path = "/v1/streams/" + requestId + "?attempt=" + attempt;
    return cancel(HttpRequest.DELETE(baseUrl + path), MAX_CANCEL_ATTEMPTS);
  }

  private CompletableFuture<Void> cancel(HttpRequest request, int attemptsLeft) {
    return send(request, controlPool)
        .thenAccept(this::discard)
        .exceptionallyCompose(
            failure ->
                attemptsLeft <= 1
                    ? CompletableFuture.failedFuture(failure)
                    : CompletableFuture.supplyAsync(() -> null, CANCEL_RETRY_EXECUTOR)
                        .thenCompose(ignored -> cancel(request, attemptsLeft - 1)))
        .toCompletableFuture();
  }

  /** Stops a stream and exports its KV cache for another engine; returns the id of the cache. */
  public CompletableFuture<String> exportKvCache(String baseUrl, String requestId) {
    return postKvRequest(baseUrl + "/v1/kv/export", new ExportRequest(requestId));
  }

  /** Imports a KV cache from another engine; returns its id at the importing engine. */
  public CompletableFuture<String> importKvCache(String baseUrl, String kvId, String sourceUrl) {
    return postKvRequest(baseUrl + "/v1/kv/import", new ImportRequest(kvId, sourceUrl));
  }

  private CompletableFuture<String> postKvRequest(String url, Object body) {
    byte[] bytes;
    try {
      bytes = JSON.writeValueAsBytes(body);
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    HttpRequest request =
        HttpRequest.POST(url).withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, bytes));
    return send(request, controlPool)
        .thenCompose(
            response ->
                readText(response)
                    .thenApply(
                        content -> {
                          if (response.status().intValue() != HTTP_OK) {
                            throw EngineException.of(RetryReason.ENDPOINT_ERROR, content);
                          }
                          return parseKvId(content);
                        }));
  }

  private static String parseKvId(String content) {
    try {
      return JSON.readValue(content, KvCacheResponse.class).kvId();
    } catch (IOException e) {
      throw EngineException.of(RetryReason.ENDPOINT_ERROR, e);
    }
  }

  private CompletableFuture<EngineResponse> toEngineResponse(HttpResponse response) {
    int status = response.status().intValue();
    if (status == HTTP_OK) {
      return CompletableFuture.completedFuture(
          new EngineResponse.Accepted(response.entity().getDataBytes()));
    }
    boolean notRun = status == HTTP_UNAVAILABLE && response.getHeader("X-Not-Run").isPresent();
    return readText(response).thenApply(content -> toRejection(status, notRun, content));
  }

  private static EngineResponse toRejection(int status, boolean notRun, String content) {
    if (notRun) {
      throw EngineException.of(RetryReason.REFUSED, content);
    }
    if (status == HTTP_NOT_FOUND) {
      throw EngineException.of(RetryReason.NOT_HELD, content);
    }
    if (status >= HTTP_SERVER_ERROR) {
      throw EngineException.of(RetryReason.ENDPOINT_ERROR, content);
    }
    ErrorKind kind =
        status == HTTP_CONTENT_TOO_LARGE || content.contains("context_too_long")
            ? ErrorKind.CONTEXT_TOO_LONG
            : ErrorKind.ENDPOINT_ERROR;
    return new EngineResponse.Rejected(kind, "engine returned status " + status + ": " + content);
  }

  private CompletableFuture<String> readText(HttpResponse response) {
    return response
        .entity()
        .toStrict(
            BODY_READ_TIMEOUT_MILLIS,
            MAX_BODY_BYTES,
            org.apache.pekko.stream.Materializer.matFromSystem(system))
        .thenApply(strict -> strict.getData().utf8String())
        .toCompletableFuture();
  }

  /** Cancels an unused stream and closes its connection. */
  public void discard(EngineResponse engineResponse) {
    if (engineResponse instanceof EngineResponse.Accepted accepted) {
      accepted.body().runWith(Sink.cancelled(), system);
    }
  }

  private void discard(HttpResponse response) {
    response.discardEntityBytes(system);
  }

  private CompletableFuture<HttpResponse> send(
      HttpRequest request, ConnectionPoolSettings settings) {
    return http.singleRequest(
            request, http.defaultClientHttpsContext(), settings, system.classicSystem().log())
        .toCompletableFuture()
        .handle(
            (response, e) -> {
              if (e == null) {
                return response;
              }
              throw EngineException.of(reason(e), e);
            });
  }

  private static RetryReason reason(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean connectFailed =
        cause instanceof StreamTcpException
            && String.valueOf(cause.getMessage()).contains("Connect");
    return connectFailed ? RetryReason.UNREACHABLE : RetryReason.CONNECTION_LOST;
  }

  private static HttpHeader header(String name, String value) {
    return RawHeader.create(name, value);
  }

  private record ExportRequest(@JsonProperty("request_id") String requestId) {}

  private record ImportRequest(@JsonProperty("kv_id") String kvId, String source) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record KvCacheResponse(@JsonProperty("kv_id") String kvId) {}
}
