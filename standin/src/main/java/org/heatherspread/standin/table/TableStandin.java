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
import org.heatherspread.standin.http.Answers;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.Standin;

/**
 * The stand-in table service: GetItem, PutItem, DeleteItem and Query of DynamoDB's JSON protocol,
 * in memory. Signatures are not checked.
 *
 * <p>Safe for use by any thread; each operation is atomic.
 */
public final class TableStandin implements Standin {
  private static final String TARGET = "X-Amz-Target";
  private static final String TYPE_PREFIX = "com.amazonaws.dynamodb.v20120810#";

  private final ActorSystem<?> system;
  private final TableData data = new TableData();
  private final Random random;
  private TableFaults faults = TableFaults.none();
  private TableCounters counters = TableCounters.zero();

  private TableStandin(ActorSystem<?> system, long seed) {
    this.system = system;
    this.random = new Random(seed);
  }

  /** Starts an empty table service; the seed is for lost answers. */
  public static TableStandin create(ActorSystem<?> system, long seed) {
    return new TableStandin(system, seed);
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (path.equals("/standin/counters")) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(JsonHttp.answer(200, counters()));
    }
    String target = JsonHttp.header(request, TARGET, "");
    return JsonHttp.body(request, system)
        .thenCompose(
            body -> {
              JsonNode json = JsonHttp.parse(body);
              if (path.equals("/standin/faults")) {
                return CompletableFuture.completedFuture(setFaults(json));
              }
              return operate(target.substring(target.indexOf('.') + 1), json);
            });
  }

  private CompletionStage<HttpResponse> operate(String operation, JsonNode request) {
    TableFaults now = faults();
    if (now.stall()) {
      return Answers.never();
    }
    return Answers.after(now.latencyMillis()).thenApply(done -> answer(operation, request));
  }

  private synchronized HttpResponse answer(String operation, JsonNode request) {
    if (faults.outage()) {
      counters = counters.plusRefused();
      return failure(503, "ServiceUnavailable", "The service is down");
    }
    try {
      return perform(operation, request);
    } catch (TableData.ProtocolException e) {
      if (e.type().startsWith("Conditional")) {
        counters = counters.plusConflict();
      }
      return failure(400, e.type(), e.getMessage());
    }
  }

  private HttpResponse perform(String operation, JsonNode request) {
    switch (operation) {
      case "GetItem" -> {
        counters = counters.plusRead();
        return success(data.get(request));
      }
      case "Query" -> {
        counters = counters.plusRead();
        return success(data.query(request));
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
    return losesAnswer() ? Answers.cut() : success(JsonHttp.object());
  }

  private boolean losesAnswer() {
    boolean lost = faults.lostNext() > 0 || random.nextDouble() < faults.lostProbability();
    if (lost) {
      faults = faults.withLostNext(Math.max(0, faults.lostNext() - 1));
      counters = counters.plusLost();
    }
    return lost;
  }

  private static HttpResponse success(ObjectNode body) {
    return respond(200, body);
  }

  private static HttpResponse failure(int status, String type, String message) {
    return respond(
        status, JsonHttp.object().put("__type", TYPE_PREFIX + type).put("message", message));
  }

  private static HttpResponse respond(int status, ObjectNode body) {
    ContentType.NonBinary type = ContentTypes.APPLICATION_JSON;
    return HttpResponse.create().withStatus(status).withEntity(type, JsonHttp.text(body));
  }

  private synchronized TableFaults faults() {
    return faults;
  }

  private synchronized TableCounters counters() {
    return counters;
  }

  private synchronized HttpResponse setFaults(JsonNode patch) {
    faults = JsonHttp.patched(faults, patch, TableFaults.class);
    return JsonHttp.answer(200, faults);
  }
}
