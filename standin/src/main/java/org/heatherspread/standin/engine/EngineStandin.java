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
import org.heatherspread.standin.Ledger;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.Standin;

/**
 * The HTTP interface of the stand-in engine; see section 2 of docs/INTERFACES.md.
 *
 * <p>Safe for use by any thread.
 */
public final class EngineStandin implements Standin {
  private static final String STREAMS = "/v1/streams/";
  private static final String KV = "/v1/kv/";
  private static final String FAULTS = "/standin/faults";

  private final ActorSystem<?> system;
  private final EngineSettings settings;
  private final EngineScheduler scheduler;
  private final ModelTable models;
  private final KvTransfer transfer;
  private volatile boolean mute;

  private EngineStandin(ActorSystem<?> system, EngineSettings settings, Ledger ledger) {
    this.system = system;
    this.settings = settings;
    this.scheduler = EngineScheduler.start(settings, ledger);
    this.models = new ModelTable(settings);
    this.transfer = new KvTransfer(settings.kvBytesPerSecond());
  }

  /** Starts an engine with an empty cache. */
  public static EngineStandin create(
      ActorSystem<?> system, EngineSettings settings, Ledger ledger) {
    return new EngineStandin(system, settings, ledger);
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (mute && !path.equals(FAULTS)) {
      return new CompletableFuture<>();
    }
    if (request.method().equals(HttpMethods.GET)) {
      request.discardEntityBytes(system);
      return get(request, path);
    }
    if (request.method().equals(HttpMethods.DELETE) && path.startsWith(STREAMS)) {
      request.discardEntityBytes(system);
      String id = path.substring(STREAMS.length());
      return scheduler
          .call(() -> scheduler.cancel(id))
          .thenApply(n -> JsonHttp.answer(200, JsonHttp.object().put("cancelled", n)));
    }
    return JsonHttp.body(request, system)
        .thenCompose(body -> post(request, path, JsonHttp.parse(body)));
  }

  // ---- Dispatch ----

  private CompletionStage<HttpResponse> get(HttpRequest request, String path) {
    if (path.startsWith(STREAMS)) {
      return resume(request, path.substring(STREAMS.length()));
    }
    if (path.startsWith(KV)) {
      return now(exported(path.substring(KV.length())));
    }
    return switch (path) {
      case "/v1/state" -> now(JsonHttp.answer(200, models.state()));
      case "/v1/cache/events" -> cacheEvents(JsonHttp.query(request, "after", 0));
      case "/metrics" -> scheduler.call(scheduler::report).thenApply(EngineStandin::metrics);
      case "/standin/counters" ->
          now(JsonHttp.answer(200, JsonHttp.object().put("stale_orders", models.staleOrders())));
      case FAULTS -> scheduler.call(scheduler::faults).thenApply(f -> JsonHttp.answer(200, f));
      default -> now(JsonHttp.error(404, "no such path"));
    };
  }

  private CompletionStage<HttpResponse> post(HttpRequest request, String path, JsonNode body) {
    return switch (path) {
      case "/v1/chat/completions" -> chat(request, body);
      case "/v1/kv/export" -> export(body.path("request_id").asText());
      case "/v1/kv/import" -> importKv(body.path("kv_id").asText(), body.path("source").asText());
      case "/v1/orders" -> now(order(body));
      case FAULTS -> setFaults(body);
      default -> now(JsonHttp.error(404, "no such path"));
    };
  }

  private static CompletionStage<HttpResponse> now(HttpResponse answer) {
    return CompletableFuture.completedFuture(answer);
  }

  // ---- Chat ----

  private CompletionStage<HttpResponse> chat(HttpRequest request, JsonNode body) {
    ChatCall call =
        ChatCall.parse(
            JsonHttp.header(request, "X-Request-Id", "anonymous-" + System.nanoTime()),
            JsonHttp.header(request, "X-Attempt", 1),
            JsonHttp.header(request, "Idempotency-Key", null),
            JsonHttp.header(request, "X-Priority", 0),
            body);
    return scheduler.call(() -> submit(call));
  }

  private HttpResponse submit(ChatCall call) {
    if (scheduler.knows(call)) {
      return attach(call.requestId(), call.attempt(), call.continueOffset());
    }
    EngineRun run = EngineRun.create(call, scheduler.nextArrival(), System.currentTimeMillis());
    if (!run.continuesTrueAnswer()) {
      scheduler.refused(call, "continue_from_mismatch");
      return JsonHttp.error(400, "continue_from_mismatch");
    }
    if (run.sequenceTokens + call.maxTokens() > settings.contextTokens()) {
      scheduler.refused(call, "context_too_long");
      return JsonHttp.error(400, "context_too_long");
    }
    if (!models.serves(call.model())) {
      scheduler.refused(call, "model_not_loaded");
      return JsonHttp.notRun("model_not_loaded");
    }
    Optional<String> refusal = scheduler.submit(run);
    if (refusal.isPresent()) {
      scheduler.refused(call, refusal.get());
      return JsonHttp.notRun(refusal.get());
    }
    Subscriber reader = scheduler.reader(system);
    scheduler.attach(call.requestId(), call.attempt(), call.continueOffset(), reader);
    return stream(call.requestId(), call.attempt(), reader);
  }

  private CompletionStage<HttpResponse> resume(HttpRequest request, String id) {
    long attempt = JsonHttp.query(request, "attempt", 1);
    int offset = (int) JsonHttp.query(request, "offset", 0);
    return scheduler.call(() -> attach(id, attempt, offset));
  }

  private HttpResponse attach(String id, long attempt, int offset) {
    Subscriber reader = scheduler.reader(system);
    if (!scheduler.attach(id, attempt, offset, reader)) {
      return JsonHttp.error(404, "stream is not held");
    }
    return stream(id, attempt, reader);
  }

  private HttpResponse stream(String id, long attempt, Subscriber reader) {
    Source<ByteString, NotUsed> body =
        reader
            .source()
            .watchTermination(
                (mat, ended) -> {
                  ended.whenComplete((done, e) -> scheduler.call(() -> detach(reader)));
                  return mat;
                });
    return HttpResponse.create()
        .addHeader(RawHeader.create("X-Request-Id", id))
        .addHeader(RawHeader.create("X-Attempt", Long.toString(attempt)))
        .withEntity(
            HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), body));
  }

  private Boolean detach(Subscriber reader) {
    scheduler.detach(reader);
    return Boolean.TRUE;
  }

  // ---- KV cache ----

  private CompletionStage<HttpResponse> export(String requestId) {
    return scheduler
        .call(() -> scheduler.export(requestId))
        .thenApply(
            kv ->
                kv.map(k -> JsonHttp.answer(200, describe(k).put("bytes", k.bytes())))
                    .orElseGet(() -> JsonHttp.error(404, "request is not running")));
  }

  private HttpResponse exported(String kvId) {
    return scheduler
        .kvs()
        .exported(kvId)
        .map(kv -> JsonHttp.answer(200, kv))
        .orElseGet(() -> JsonHttp.error(404, "no such KV cache"));
  }

  private CompletionStage<HttpResponse> importKv(String kvId, String source) {
    return transfer
        .fetch(kvId, source)
        .thenApply(
            kv -> {
              scheduler.kvs().importKv(kv);
              return JsonHttp.answer(200, describe(kv));
            })
        .exceptionally(e -> JsonHttp.error(502, "import failed: " + e.getMessage()));
  }

  private static ObjectNode describe(KvStore.Kv kv) {
    return JsonHttp.object().put("kv_id", kv.kvId()).put("tokens", kv.tokens());
  }

  // ---- Orders, cache events, load, faults ----

  private HttpResponse order(JsonNode body) {
    if (models.order(body)) {
      ObjectNode answer = JsonHttp.object();
      answer.putPOJO("state", models.state());
      return JsonHttp.answer(200, answer);
    }
    ObjectNode refusal = JsonHttp.object().put("error", "stale_fencing");
    return JsonHttp.answer(409, refusal.put("highest", models.state().highestFencing()));
  }

  private record CacheEventsAnswer(long incarnation, List<CacheEvents.View> events, long next) {}

  private CompletionStage<HttpResponse> cacheEvents(long after) {
    return scheduler
        .call(() -> scheduler.cacheEvents(after))
        .thenApply(
            events -> {
              long next = events.isEmpty() ? after : events.get(events.size() - 1).seq();
              return JsonHttp.answer(
                  200, new CacheEventsAnswer(settings.incarnation(), events, next));
            });
  }

  private static HttpResponse metrics(EngineLoad load) {
    return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, load.prometheus());
  }

  private CompletionStage<HttpResponse> setFaults(JsonNode patch) {
    return scheduler.call(
        () -> {
          EngineFaults next = JsonHttp.patched(scheduler.faults(), patch, EngineFaults.class);
          scheduler.setFaults(next);
          mute = next.stall() == EngineFaults.Stall.ALL;
          return JsonHttp.answer(200, next);
        });
  }

  @Override
  public void close() {
    scheduler.close();
  }
}
