package org.heatherspread.standin.plain;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.heatherspread.standin.ExecutionLog;
import org.heatherspread.standin.answer.PlainResponseGenerator;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.ResponseFaults;
import org.heatherspread.standin.http.Standin;

/**
 * Simulates a plain service over HTTP; see section 3 of docs/INTERFACES.md. Every request that is
 * not refused, including reads, is executed and logged. Probes of {@code /health/live} are not.
 *
 * <p>Thread-safe.
 */
public final class PlainStandin implements Standin {
  /** The exit status that a shell reports for a process ended by SIGABRT. */
  private static final int CRASH_EXIT_CODE = 134;

  private static final String FAULTS_PATH = "/standin/faults";
  private static final String HEALTH_PATH = "/health/live";

  private final ActorSystem<?> system;
  private final PlainSettings settings;
  private final ExecutionLog executionLog;
  private final Random random;
  private volatile PlainFaults faults = PlainFaults.none();

  private PlainStandin(ActorSystem<?> system, PlainSettings settings, ExecutionLog executionLog) {
    this.system = system;
    this.settings = settings;
    this.executionLog = executionLog;
    this.random = new Random(settings.seed());
  }

  /** Creates a plain service. */
  public static PlainStandin create(
      ActorSystem<?> system, PlainSettings settings, ExecutionLog executionLog) {
    return new PlainStandin(system, settings, executionLog);
  }

  private record PlainRequest(
      String method,
      String path,
      byte[] body,
      String requestId,
      long attempt,
      String idempotencyKey) {
    String description() {
      return method + " " + path;
    }
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (path.equals(HEALTH_PATH)) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(JsonHttp.jsonResponse(200, JsonHttp.newObject()));
    }
    String requestId = JsonHttp.header(request, "X-Request-Id", "");
    long attempt = JsonHttp.header(request, "X-Attempt", 1);
    String idempotencyKey = JsonHttp.header(request, "Idempotency-Key", null);
    return JsonHttp.readBody(request, system)
        .thenCompose(
            body -> {
              if (path.equals(FAULTS_PATH)) {
                return setFaults(body);
              }
              return execute(
                  new PlainRequest(
                      request.method().name(), path, body, requestId, attempt, idempotencyKey));
            });
  }

  private CompletionStage<HttpResponse> execute(PlainRequest request) {
    PlainFaults currentFaults = faults;
    if (random.nextDouble() < currentFaults.refuse()) {
      record(request, ExecutionLog.Event.REFUSED, null);
      return CompletableFuture.completedFuture(
          withAttemptHeaders(
              JsonHttp.notRunResponse("refused"), request.requestId(), request.attempt()));
    }
    record(request, ExecutionLog.Event.STARTED, null);
    if (currentFaults.crashesOn(new String(request.body(), StandardCharsets.UTF_8))) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    boolean isRead = request.method().equals("GET") || request.method().equals("HEAD");
    return ResponseFaults.delay(isRead ? settings.readMillis() : settings.writeMillis())
        .thenCompose(done -> completeExecution(request));
  }

  private CompletionStage<HttpResponse> completeExecution(PlainRequest request) {
    String body = PlainResponseGenerator.generate(request.method(), request.path(), request.body());
    record(
        request,
        ExecutionLog.Event.FINISHED,
        ExecutionLog.sha256(body.getBytes(StandardCharsets.UTF_8)));
    PlainFaults currentFaults = faults;
    if (currentFaults.stall()) {
      return ResponseFaults.noResponse();
    }
    return ResponseFaults.delay(currentFaults.lateMillis())
        .thenApply(done -> createResponse(request, body, currentFaults));
  }

  private HttpResponse createResponse(
      PlainRequest request, String body, PlainFaults currentFaults) {
    if (random.nextDouble() < currentFaults.cut()) {
      return ResponseFaults.abortedResponse();
    }
    if (random.nextDouble() < currentFaults.crossed()) {
      String foreignBody =
          PlainResponseGenerator.generate(
              request.method(), request.path() + "/crossed", request.body());
      return withAttemptHeaders(
          jsonResponse(foreignBody), "crossed-" + request.requestId(), request.attempt());
    }
    return withAttemptHeaders(jsonResponse(body), request.requestId(), request.attempt());
  }

  private static HttpResponse jsonResponse(String body) {
    return HttpResponse.create()
        .withEntity(org.apache.pekko.http.javadsl.model.ContentTypes.APPLICATION_JSON, body);
  }

  private static HttpResponse withAttemptHeaders(
      HttpResponse response, String requestId, long attempt) {
    return response
        .addHeader(RawHeader.create("X-Request-Id", requestId))
        .addHeader(RawHeader.create("X-Attempt", Long.toString(attempt)));
  }

  private CompletionStage<HttpResponse> setFaults(byte[] body) {
    PlainFaults newFaults = JsonHttp.applyPatch(faults, JsonHttp.parse(body), PlainFaults.class);
    if (newFaults.crashNow()) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    faults = newFaults;
    return CompletableFuture.completedFuture(JsonHttp.jsonResponse(200, newFaults));
  }

  private void record(PlainRequest request, ExecutionLog.Event event, String sha256) {
    executionLog.write(
        new ExecutionLog.Entry(
            System.currentTimeMillis(),
            settings.id(),
            request.requestId(),
            request.attempt(),
            request.idempotencyKey(),
            event,
            0,
            0,
            sha256,
            request.description()));
  }
}
