package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.standin.ExecutionLog;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.Standin;

/**
 * Simulates a model engine over HTTP; see section 2 of docs/INTERFACES.md.
 *
 * <p>Thread-safe.
 */
public final class EngineStandin implements Standin {
  private static final String STREAMS_PREFIX = "/v1/streams/";
  private static final String KV_PREFIX = "/v1/kv/";
  private static final String FAULTS_PATH = "/standin/faults";

  private final ActorSystem<?> system;
  private final EngineSettings settings;
  private final EngineScheduler scheduler;
  private final ModelRegistry modelRegistry;
  private final KvCacheTransfer kvCacheTransfer;
  private volatile boolean stalled;

  private EngineStandin(ActorSystem<?> system, EngineSettings settings, ExecutionLog executionLog) {
    this.system = system;
    this.settings = settings;
    this.scheduler = EngineScheduler.start(settings, executionLog);
    this.modelRegistry = new ModelRegistry(settings);
    this.kvCacheTransfer = new KvCacheTransfer(settings.kvBytesPerSecond());
  }

  /** Starts an engine with an empty prefix cache. */
  public static EngineStandin create(
      ActorSystem<?> system, EngineSettings settings, ExecutionLog executionLog) {
    return new EngineStandin(system, settings, executionLog);
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (stalled && !path.equals(FAULTS_PATH)) {
      return new CompletableFuture<>();
    }
    if (request.method().equals(HttpMethods.GET)) {
      request.discardEntityBytes(system);
      return get(request, path);
    }
    if (request.method().equals(HttpMethods.DELETE) && path.startsWith(STREAMS_PREFIX)) {
      request.discardEntityBytes(system);
      String id = path.substring(STREAMS_PREFIX.length());
      return scheduler
          .execute(() -> scheduler.cancel(id))
          .thenApply(n -> JsonHttp.jsonResponse(200, JsonHttp.newObject().put("cancelled", n)));
    }
    return JsonHttp.readBody(request, system)
        .thenCompose(body -> post(request, path, JsonHttp.parse(body)));
  }

  private CompletionStage<HttpResponse> get(HttpRequest request, String path) {
    if (path.startsWith(STREAMS_PREFIX)) {
      return resume(request, path.substring(STREAMS_PREFIX.length()));
    }
    if (path.startsWith(KV_PREFIX)) {
      return completed(findExportedKvCache(path.substring(KV_PREFIX.length())));
    }
    return switch (path) {
      case "/v1/state" -> completed(JsonHttp.jsonResponse(200, modelRegistry.state()));
      case "/v1/cache/events" -> cacheEvents(JsonHttp.queryParameter(request, "after", 0));
      case "/metrics" ->
          scheduler.execute(scheduler::loadReport).thenApply(EngineStandin::metricsResponse);
      case "/standin/counters" ->
          completed(
              JsonHttp.jsonResponse(
                  200, JsonHttp.newObject().put("stale_orders", modelRegistry.staleOrderCount())));
      case FAULTS_PATH ->
          scheduler.execute(scheduler::faults).thenApply(f -> JsonHttp.jsonResponse(200, f));
      default -> completed(JsonHttp.errorResponse(404, "no such path"));
    };
  }

  private CompletionStage<HttpResponse> post(HttpRequest request, String path, JsonNode body) {
    return switch (path) {
      case "/v1/chat/completions" -> chat(request, body);
      case "/v1/kv/export" -> exportKvCache(body.path("request_id").asText());
      case "/v1/kv/import" ->
          importKvCache(body.path("kv_id").asText(), body.path("source").asText());
      case "/v1/orders" -> completed(applyOrder(body));
      case FAULTS_PATH -> setFaults(body);
      default -> completed(JsonHttp.errorResponse(404, "no such path"));
    };
  }

  private static CompletionStage<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }

  private CompletionStage<HttpResponse> chat(HttpRequest request, JsonNode body) {
    CompletionRequest completion =
        CompletionRequest.parse(
            JsonHttp.header(request, "X-Request-Id", "anonymous-" + System.nanoTime()),
            JsonHttp.header(request, "X-Attempt", 1),
            JsonHttp.header(request, "Idempotency-Key", null),
            JsonHttp.header(request, "X-Priority", 0),
            body);
    return scheduler.execute(() -> submit(completion));
  }

  private HttpResponse submit(CompletionRequest request) {
    if (scheduler.isKnown(request)) {
      return attach(request.requestId(), request.attempt(), request.continueOffset());
    }
    EngineAttempt attempt =
        EngineAttempt.create(request, scheduler.nextArrivalNumber(), System.currentTimeMillis());
    if (!attempt.hasValidContinuation()) {
      scheduler.recordRefusal(request, "continue_from_mismatch");
      return JsonHttp.errorResponse(400, "continue_from_mismatch");
    }
    if (attempt.sequenceTokens + request.maxTokens() > settings.maxContextTokens()) {
      scheduler.recordRefusal(request, "context_too_long");
      return JsonHttp.errorResponse(400, "context_too_long");
    }
    if (!modelRegistry.canServe(request.model())) {
      scheduler.recordRefusal(request, "model_not_loaded");
      return JsonHttp.notRunResponse("model_not_loaded");
    }
    Optional<String> refusal = scheduler.enqueue(attempt);
    if (refusal.isPresent()) {
      scheduler.recordRefusal(request, refusal.get());
      return JsonHttp.notRunResponse(refusal.get());
    }
    StreamSubscriber subscriber = scheduler.createSubscriber(system);
    scheduler.attach(request.requestId(), request.attempt(), request.continueOffset(), subscriber);
    return streamResponse(request.requestId(), request.attempt(), subscriber);
  }

  private CompletionStage<HttpResponse> resume(HttpRequest request, String id) {
    long attemptNumber = JsonHttp.queryParameter(request, "attempt", 1);
    int offset = (int) JsonHttp.queryParameter(request, "offset", 0);
    return scheduler.execute(() -> attach(id, attemptNumber, offset));
  }

  private HttpResponse attach(String id, long attemptNumber, int offset) {
    StreamSubscriber subscriber = scheduler.createSubscriber(system);
    if (!scheduler.attach(id, attemptNumber, offset, subscriber)) {
      return JsonHttp.errorResponse(404, "stream is not held");
    }
    return streamResponse(id, attemptNumber, subscriber);
  }

  private HttpResponse streamResponse(String id, long attemptNumber, StreamSubscriber subscriber) {
    Source<ByteString, NotUsed> body =
        subscriber
            .source()
            .watchTermination(
                (materialized, completion) -> {
                  completion.whenComplete((done, e) -> scheduler.execute(() -> detach(subscriber)));
                  return materialized;
                });
    return HttpResponse.create()
        .addHeader(RawHeader.create("X-Request-Id", id))
        .addHeader(RawHeader.create("X-Attempt", Long.toString(attemptNumber)))
        .withEntity(
            HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), body));
  }

  private Boolean detach(StreamSubscriber subscriber) {
    scheduler.detach(subscriber);
    return Boolean.TRUE;
  }

  private CompletionStage<HttpResponse> exportKvCache(String requestId) {
    return scheduler
        .execute(() -> scheduler.export(requestId))
        .thenApply(
            cache ->
                cache
                    .map(k -> JsonHttp.jsonResponse(200, describe(k).put("bytes", k.bytes())))
                    .orElseGet(() -> JsonHttp.errorResponse(404, "request is not running")));
  }

  private HttpResponse findExportedKvCache(String kvId) {
    return scheduler
        .kvCaches()
        .findExported(kvId)
        .map(cache -> JsonHttp.jsonResponse(200, cache))
        .orElseGet(() -> JsonHttp.errorResponse(404, "no such KV cache"));
  }

  private CompletionStage<HttpResponse> importKvCache(String kvId, String source) {
    return kvCacheTransfer
        .fetch(kvId, source)
        .thenApply(
            cache -> {
              scheduler.kvCaches().putImported(cache);
              return JsonHttp.jsonResponse(200, describe(cache));
            })
        .exceptionally(e -> JsonHttp.errorResponse(502, "import failed: " + e.getMessage()));
  }

  private static ObjectNode describe(KvCacheStore.KvCache cache) {
    return JsonHttp.newObject().put("kv_id", cache.kvId()).put("tokens", cache.tokens());
  }

  private HttpResponse applyOrder(JsonNode body) {
    if (modelRegistry.applyOrder(body)) {
      ObjectNode response = JsonHttp.newObject();
      response.putPOJO("state", modelRegistry.state());
      return JsonHttp.jsonResponse(200, response);
    }
    ObjectNode refusal = JsonHttp.newObject().put("error", "stale_fencing");
    return JsonHttp.jsonResponse(
        409, refusal.put("highest", modelRegistry.state().highestFencing()));
  }

  private record CacheEventsResponse(
      long incarnation, List<CacheEventLog.Event> events, long next) {}

  private CompletionStage<HttpResponse> cacheEvents(long after) {
    return scheduler
        .execute(() -> scheduler.cacheEventsAfter(after))
        .thenApply(
            events -> {
              long next = events.isEmpty() ? after : events.get(events.size() - 1).seq();
              return JsonHttp.jsonResponse(
                  200, new CacheEventsResponse(settings.incarnation(), events, next));
            });
  }

  private static HttpResponse metricsResponse(EngineLoad load) {
    return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, load.toPrometheusText());
  }

  private CompletionStage<HttpResponse> setFaults(JsonNode patch) {
    return scheduler.execute(
        () -> {
          EngineFaults faults = JsonHttp.applyPatch(scheduler.faults(), patch, EngineFaults.class);
          scheduler.setFaults(faults);
          stalled = faults.stall() == EngineFaults.Stall.ALL;
          return JsonHttp.jsonResponse(200, faults);
        });
  }

  @Override
  public void close() {
    scheduler.close();
  }
}
