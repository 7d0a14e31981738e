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
 * Probes endpoints over HTTP: engines by their state, plain services by any answer at all. Each
 * probe opens a connection of its own, so that one that went silent cannot hide that the endpoint
 * lives, nor the reverse.
 *
 * <p>Immutable and safe for use by any thread.
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

  /** Creates a prober whose probes fail after a time-out. */
  public static HttpEndpointProber create(ActorSystem<?> system, Duration timeout) {
    return new HttpEndpointProber(system, timeout);
  }

  @Override
  public CompletableFuture<Long> probe(Instance endpoint) {
    boolean engine = endpoint.kind() == InstanceKind.ENGINE;
    HttpRequest request =
        HttpRequest.GET(endpoint.baseUrl() + (engine ? ENGINE_PATH : PLAIN_PATH))
            .addHeader(Connection.create("close"));
    return Http.get(system)
        .singleRequest(
            request,
            Http.get(system).defaultClientHttpsContext(),
            pool,
            system.classicSystem().log())
        .thenCompose(response -> incarnation(response, engine))
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletionStage<Long> incarnation(HttpResponse response, boolean engine) {
    if (!engine || !response.status().isSuccess()) {
      response.discardEntityBytes(system);
      return CompletableFuture.completedFuture(0L);
    }
    return response
        .entity()
        .withSizeLimit(MAX_BODY_BYTES)
        .toStrict(timeout.toMillis(), system)
        .thenApply(strict -> parse(strict.getData().toArray()));
  }

  private static long parse(byte[] body) {
    try {
      JsonNode state = MAPPER.readTree(body);
      return state.path("incarnation").asLong(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
