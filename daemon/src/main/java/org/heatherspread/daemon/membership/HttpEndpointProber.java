package org.heatherspread.daemon.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;

/**
 * Probes endpoints over HTTP. An endpoint is alive if it responds, whatever the status; engines
 * also report their incarnation. Each probe opens a new connection, as a stale connection says
 * nothing about the endpoint: it may be dead while the endpoint is alive, or the reverse.
 *
 * <p>Immutable and thread-safe.
 */
public final class HttpEndpointProber implements EndpointProber {
  private static final long MAX_BODY_BYTES = 65_536;
  private static final String ENGINE_PATH = "/v1/state";
  private static final String PLAIN_PATH = "/health/live";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ActorSystem<?> system;
  private final Duration timeout;
  private final ConnectionPoolSettings pool;

  private HttpEndpointProber(ActorSystem<?> system, Duration timeout) {
    this.system = system;
    this.timeout = timeout;
    this.pool =
        ConnectionPoolSettings.create(system.classicSystem())
            .withMaxRetries(0)
            .withIdleTimeout(scala.concurrent.duration.Duration.create(5, TimeUnit.SECONDS));
  }

  /** Creates a prober whose probes fail after the timeout. */
  public static HttpEndpointProber create(ActorSystem<?> system, Duration timeout) {
    return new HttpEndpointProber(system, timeout);
  }

  @Override
  public CompletableFuture<Long> probe(Instance endpoint) {
    boolean isEngine = endpoint.kind() == InstanceKind.ENGINE;
    HttpRequest request =
        HttpRequest.GET(endpoint.baseUrl() + (isEngine ? ENGINE_PATH : PLAIN_PATH))
            .addHeader(Connection.create("close"));
    return Http.get(system)
        .singleRequest(
            request,
            Http.get(system).defaultClientHttpsContext(),
            pool,
            system.classicSystem().log())
        .thenCompose(response -> readIncarnation(response, isEngine))
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletionStage<Long> readIncarnation(HttpResponse response, boolean isEngine) {
    if (!isEngine || !response.status().isSuccess()) {
      response.discardEntityBytes(system);
      return CompletableFuture.completedFuture(0L);
    }
    return response
        .entity()
        .withSizeLimit(MAX_BODY_BYTES)
        .toStrict(timeout.toMillis(), system)
        .thenApply(strict -> parseIncarnation(strict.getData().toArray()));
  }

  private static long parseIncarnation(byte[] body) {
    try {
      JsonNode state = MAPPER.readTree(body);
      return state.path("incarnation").asLong(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
