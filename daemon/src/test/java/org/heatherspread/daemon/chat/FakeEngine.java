package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;

/**
 * In-process engine with configurable faults that logs the requests it receives. Token {@code i} of
 * every response is {@code wI}.
 */
final class FakeEngine implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  final List<String> requestLog = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  volatile int disconnectAfterTokens = Integer.MAX_VALUE;
  volatile int stallAfterTokens = Integer.MAX_VALUE;
  volatile int foreignFrameBeforeToken = -1;
  volatile boolean refuseRequests;
  volatile boolean loseStreams;
  volatile Duration tokenInterval = Duration.ofMillis(1);
  private final Map<String, Integer> streamLengths = new ConcurrentHashMap<>();
  private final ActorSystem<?> system;
  private final String id;
  private final String service;
  private final ServerBinding binding;

  FakeEngine(ActorSystem<?> system, String id, String service) {
    this.system = system;
    this.id = id;
    this.service = service;
    this.binding =
        Http.get(system)
            .newServerAt("127.0.0.1", 0)
            .connectionSource()
            .to(
                Sink.foreach(
                    connection -> {
                      connections.incrementAndGet();
                      connection.handleWithAsyncHandler(
                          this::handle, Materializer.matFromSystem(system));
                    }))
            .run(system)
            .toCompletableFuture()
            .join();
  }

  Instance instance() {
    return new Instance(
        id,
        1,
        InstanceKind.ENGINE,
        service,
        new FailureDomain("r", "d-" + id),
        "127.0.0.1",
        binding.localAddress().getPort(),
        0,
        "m",
        Market.RECLAIMABLE,
        1,
        InstanceState.LIVE,
        java.util.Optional.empty());
  }

  private CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (path.startsWith("/v1/streams/")) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(
          request.method().equals(HttpMethods.DELETE) ? cancel(path) : resume(request, path));
    }
    return request
        .entity()
        .toStrict(1_000, system)
        .thenApply(body -> post(request, path, body.getData().utf8String()));
  }

  private HttpResponse cancel(String path) {
    requestLog.add("cancel " + path.substring("/v1/streams/".length()));
    return HttpResponse.create();
  }

  private HttpResponse resume(HttpRequest request, String path) {
    String requestId = path.substring("/v1/streams/".length());
    int attempt = Integer.parseInt(request.getUri().query().get("attempt").orElseThrow());
    int offset = Integer.parseInt(request.getUri().query().get("offset").orElseThrow());
    requestLog.add("resume " + attempt + " after " + offset);
    Integer length = streamLengths.get(requestId + ":" + attempt);
    if (length == null || loseStreams) {
      return HttpResponse.create().withStatus(404);
    }
    return stream(requestId, attempt, offset, length);
  }

  private HttpResponse post(HttpRequest request, String path, String body) {
    JsonNode tree = parse(body);
    if (path.equals("/v1/kv/export")) {
      requestLog.add("export");
      return json("{\"kv_id\":\"kv-1\",\"tokens\":1,\"bytes\":1}");
    }
    if (path.equals("/v1/kv/import")) {
      requestLog.add("import " + tree.path("kv_id").asText());
      return json("{\"kv_id\":\"kv-2\",\"tokens\":1}");
    }
    if (refuseRequests) {
      requestLog.add("refused");
      return HttpResponse.create().withStatus(503).addHeader(RawHeader.create("X-Not-Run", "true"));
    }
    String requestId = request.getHeader("X-Request-Id").orElseThrow().value();
    int attempt = Integer.parseInt(request.getHeader("X-Attempt").orElseThrow().value());
    JsonNode continuation = tree.path("continue_from");
    int offset = continuation.path("offset").asInt(0);
    requestLog.add(
        ("start " + attempt + " after " + offset + " " + continuation.path("kv_id").asText())
            .trim());
    if (!continuation.path("text").asText("").equals(text(offset))) {
      return HttpResponse.create().withStatus(400);
    }
    int length = tree.path("max_tokens").asInt();
    streamLengths.put(requestId + ":" + attempt, length);
    return stream(requestId, attempt, offset, length);
  }

  static String text(int tokens) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= tokens; i++) {
      text.append('w').append(i).append(' ');
    }
    return text.toString();
  }

  private HttpResponse stream(String requestId, int attempt, int offset, int length) {
    List<String> events = new ArrayList<>();
    String prefix = "id: " + requestId + ":" + attempt + ":";
    for (int i = offset + 1; i <= length; i++) {
      if (i == foreignFrameBeforeToken) {
        events.add("id: other:1:" + i + "\ndata: " + token(999) + "\n\n");
      }
      events.add(prefix + i + "\ndata: " + token(i) + "\n\n");
    }
    String end = prefix + length + "\ndata: ";
    events.add(end + "{\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n");
    events.add(
        end
            + "{\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":"
            + length
            + ",\"prompt_tokens_details\":{\"cached_tokens\":2}}}\n\n");
    events.add(end + "[DONE]\n\n");
    return HttpResponse.create()
        .withEntity(
            HttpEntities.createChunked(
                ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), body(events, offset)));
  }

  private Source<ByteString, ?> body(List<String> events, int offset) {
    Source<ByteString, ?> allEvents =
        Source.from(events).throttle(1, tokenInterval).map(ByteString::fromString);
    if (offset >= disconnectAfterTokens || offset >= stallAfterTokens) {
      return allEvents;
    }
    if (disconnectAfterTokens != Integer.MAX_VALUE) {
      return allEvents.take(disconnectAfterTokens - offset);
    }
    if (stallAfterTokens != Integer.MAX_VALUE) {
      return allEvents.take(stallAfterTokens - offset).concat(Source.maybe());
    }
    return allEvents;
  }

  private static String token(int i) {
    return "{\"id\":\"c\",\"created\":1,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w"
        + i
        + " \"},\"finish_reason\":null}]}";
  }

  private static HttpResponse json(String body) {
    return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, body);
  }

  private static JsonNode parse(String body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }

  @Override
  public void close() {
    binding.terminate(Duration.ofMillis(10));
  }
}
