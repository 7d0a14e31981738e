package org.heatherspread.standin.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.ResponseFaults;
import org.heatherspread.standin.http.Standin;

/**
 * Simulates the platform's table service in memory: GetItem, PutItem, DeleteItem and Query of
 * DynamoDB's JSON protocol. Signatures are not checked.
 *
 * <p>Thread-safe; each operation is atomic.
 */
public final class TableStandin implements Standin {
  private static final String TARGET_HEADER = "X-Amz-Target";
  private static final String ERROR_TYPE_PREFIX = "com.amazonaws.dynamodb.v20120810#";

  private final ActorSystem<?> system;
  private final TableData data = new TableData();
  private final Random random;
  private TableFaults faults = TableFaults.none();
  private TableCounters counters = TableCounters.zero();

  private TableStandin(ActorSystem<?> system, long seed) {
    this.system = system;
    this.random = new Random(seed);
  }

  /** Creates an empty table service; the seed determines which responses are lost. */
  public static TableStandin create(ActorSystem<?> system, long seed) {
    return new TableStandin(system, seed);
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (path.equals("/standin/counters")) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(JsonHttp.jsonResponse(200, counters()));
    }
    String target = JsonHttp.header(request, TARGET_HEADER, "");
    return JsonHttp.readBody(request, system)
        .thenCompose(
            body -> {
              JsonNode json = JsonHttp.parse(body);
              if (path.equals("/standin/faults")) {
                return CompletableFuture.completedFuture(setFaults(json));
              }
              return handleOperation(target.substring(target.indexOf('.') + 1), json);
            });
  }

  private CompletionStage<HttpResponse> handleOperation(String operation, JsonNode request) {
    TableFaults currentFaults = faults();
    if (currentFaults.stall()) {
      return ResponseFaults.noResponse();
    }
    return ResponseFaults.delay(currentFaults.latencyMillis())
        .thenApply(done -> execute(operation, request));
  }

  private synchronized HttpResponse execute(String operation, JsonNode request) {
    if (faults.outage()) {
      counters = counters.plusRefused();
      return errorResponse(503, "ServiceUnavailable", "The service is down");
    }
    try {
      return perform(operation, request);
    } catch (TableData.ProtocolException e) {
      if (e.type().startsWith("Conditional")) {
        counters = counters.plusConflict();
      }
      return errorResponse(400, e.type(), e.getMessage());
    }
  }

  private HttpResponse perform(String operation, JsonNode request) {
    switch (operation) {
      case "GetItem" -> {
        counters = counters.plusRead();
        return successResponse(data.get(request));
      }
      case "Query" -> {
        counters = counters.plusRead();
        return successResponse(data.query(request));
      }
      case "PutItem" -> {
        counters = counters.plusWrite();
        data.put(request);
      }
      case "DeleteItem" -> {
        counters = counters.plusWrite();
        data.delete(request);
      }
      default -> throw new TableData.ProtocolException("UnknownOperationException", operation);
    }
    return decideResponseLoss()
        ? ResponseFaults.abortedResponse()
        : successResponse(JsonHttp.newObject());
  }

  private boolean decideResponseLoss() {
    boolean lost = faults.lostNext() > 0 || random.nextDouble() < faults.lostProbability();
    if (lost) {
      faults = faults.withLostNext(Math.max(0, faults.lostNext() - 1));
      counters = counters.plusLost();
    }
    return lost;
  }

  private static HttpResponse successResponse(ObjectNode body) {
    return jsonResponse(200, body);
  }

  private static HttpResponse errorResponse(int status, String type, String message) {
    return jsonResponse(
        status,
        JsonHttp.newObject().put("__type", ERROR_TYPE_PREFIX + type).put("message", message));
  }

  private static HttpResponse jsonResponse(int status, ObjectNode body) {
    ContentType.NonBinary type = ContentTypes.APPLICATION_JSON;
    return HttpResponse.create().withStatus(status).withEntity(type, JsonHttp.toJson(body));
  }

  private synchronized TableFaults faults() {
    return faults;
  }

  private synchronized TableCounters counters() {
    return counters;
  }

  private synchronized HttpResponse setFaults(JsonNode patch) {
    faults = JsonHttp.applyPatch(faults, patch, TableFaults.class);
    return JsonHttp.jsonResponse(200, faults);
  }
}
