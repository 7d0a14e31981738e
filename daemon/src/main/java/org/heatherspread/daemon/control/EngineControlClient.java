package org.heatherspread.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.order.EndpointModel;
import org.heatherspread.core.order.EndpointState;

/**
 * Reads the state of engines and sends them orders. Each request uses a new connection.
 *
 * <p>Immutable and thread-safe. Futures fail if no response arrives in time.
 */
final class EngineControlClient {
  private static final int CONFLICT_STATUS = 409;
  private static final long MAX_BODY_BYTES = 262_144;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private final ActorSystem<?> system;
  private final Duration timeout;

  EngineControlClient(ActorSystem<?> system, Duration timeout) {
    this.system = system;
    this.timeout = timeout;
  }

  CompletableFuture<EndpointState> fetchState(Instance engine) {
    return send(HttpRequest.GET(engine.baseUrl() + "/v1/state"))
        .thenCompose(this::readBody)
        .thenApply(EngineControlClient::parseState)
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Sends an order; completes with false if the engine rejects the fencing token as stale. */
  CompletableFuture<Boolean> sendOrder(Instance engine, long fencingToken, EndpointState desired) {
    HttpRequest request =
        HttpRequest.POST(engine.baseUrl() + "/v1/orders")
            .withEntity(
                HttpEntities.create(ContentTypes.APPLICATION_JSON, toJson(fencingToken, desired)));
    return send(request)
        .thenCompose(
            response -> {
              if (response.status().intValue() == CONFLICT_STATUS) {
                response.discardEntityBytes(system);
                return CompletableFuture.completedFuture(false);
              }
              return readBody(response).thenApply(text -> true);
            })
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletionStage<HttpResponse> send(HttpRequest request) {
    return Http.get(system).singleRequest(request.addHeader(Connection.create("close")));
  }

  private CompletionStage<String> readBody(HttpResponse response) {
    if (!response.status().isSuccess()) {
      response.discardEntityBytes(system);
      int status = response.status().intValue();
      return CompletableFuture.failedFuture(
          new IllegalStateException("engine responded with status " + status));
    }
    return response
        .entity()
        .withSizeLimit(MAX_BODY_BYTES)
        .toStrict(timeout.toMillis(), system)
        .thenApply(strict -> strict.getData().utf8String());
  }

  private static String toJson(long fencingToken, EndpointState desired) {
    try {
      return MAPPER.writeValueAsString(new Order(fencingToken, desired));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static EndpointState parseState(String text) {
    try {
      State state = MAPPER.readValue(text, State.class);
      List<EndpointModel> models = new ArrayList<>();
      if (state.models() != null) {
        models.addAll(state.models());
      }
      if (state.loading() != null) {
        models.addAll(state.loading());
      }
      return new EndpointState(models, state.role() == null ? "" : state.role());
    } catch (JsonProcessingException e) {
      throw new CompletionException(e);
    }
  }

  private record Order(long fencing, EndpointState desired) {}

  private record State(List<EndpointModel> models, List<EndpointModel> loading, String role) {}
}
