package org.heatherspread.standin.cloud;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.Standin;

/**
 * Simulates the platform's cloud over HTTP: the instance list, the cloud API and the reclaim
 * notices of section 4 of docs/INTERFACES.md. Tests control its content and faults with {@code POST
 * /standin/...}.
 *
 * <p>Thread-safe.
 */
public final class CloudStandin implements Standin {
  private static final String INSTANCES_PATH = "/v1/instances";

  private final ActorSystem<?> system;
  private final CloudState state;

  private CloudStandin(ActorSystem<?> system, CloudSettings settings) {
    this.system = system;
    this.state = new CloudState(settings);
  }

  /** Creates a cloud without instances or offers. */
  public static CloudStandin create(ActorSystem<?> system, CloudSettings settings) {
    return new CloudStandin(system, settings);
  }

  private record InstancesResponse(long asOf, List<CloudInstance> instances) {}

  private record NoticesResponse(List<CloudState.Notice> notices, long next) {}

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (request.method().equals(HttpMethods.GET)) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(get(request, path));
    }
    if (request.method().equals(HttpMethods.DELETE) && path.startsWith(INSTANCES_PATH + "/")) {
      request.discardEntityBytes(system);
      boolean deleted = state.deleteInstance(path.substring(INSTANCES_PATH.length() + 1));
      return CompletableFuture.completedFuture(
          deleted
              ? JsonHttp.jsonResponse(200, JsonHttp.newObject())
              : JsonHttp.errorResponse(404, "no such id"));
    }
    return JsonHttp.readBody(request, system).thenApply(body -> post(path, JsonHttp.parse(body)));
  }

  private HttpResponse get(HttpRequest request, String path) {
    return switch (path) {
      case INSTANCES_PATH -> {
        CloudState.InstanceList list = state.listInstances();
        yield JsonHttp.jsonResponse(200, new InstancesResponse(list.asOf(), list.instances()));
      }
      case "/v1/offers" -> JsonHttp.jsonResponse(200, new OffersResponse(state.offers()));
      case "/v1/notices" -> {
        long after = JsonHttp.queryParameter(request, "after", 0);
        List<CloudState.Notice> notices = state.noticesAfter(after);
        long next = notices.isEmpty() ? after : notices.get(notices.size() - 1).seq();
        yield JsonHttp.jsonResponse(200, new NoticesResponse(notices, next));
      }
      default -> JsonHttp.errorResponse(404, "no such path");
    };
  }

  private HttpResponse post(String path, JsonNode body) {
    return switch (path) {
      case INSTANCES_PATH -> start(body);
      case "/standin/instances" -> {
        state.addInstances(toList(body.path("instances"), CloudInstance[].class));
        yield JsonHttp.jsonResponse(200, JsonHttp.newObject());
      }
      case "/standin/pool" -> {
        state.addToPool(toList(body.path("instances"), CloudInstance[].class));
        yield JsonHttp.jsonResponse(200, JsonHttp.newObject());
      }
      case "/standin/offers" -> {
        state.setOffers(toList(body.path("offers"), CloudState.Offer[].class));
        yield JsonHttp.jsonResponse(200, JsonHttp.newObject());
      }
      case "/standin/reclaim" -> JsonHttp.jsonResponse(200, reclaim(body));
      case "/standin/faults" -> JsonHttp.jsonResponse(200, state.setFaults(body));
      default -> JsonHttp.errorResponse(404, "no such path");
    };
  }

  private static <T> List<T> toList(JsonNode array, Class<T[]> type) {
    T[] values = JsonHttp.fromJson(array, type);
    return values == null ? List.of() : List.of(values);
  }

  private HttpResponse start(JsonNode body) {
    CloudState.StartResult result =
        state.startInstance(JsonHttp.fromJson(body, CloudState.StartRequest.class));
    if (result.instance() != null) {
      return JsonHttp.jsonResponse(201, result.instance());
    }
    return JsonHttp.jsonResponse(409, JsonHttp.newObject().put("reason", result.reason()));
  }

  private record OffersResponse(@JsonProperty("offers") List<CloudState.Offer> offers) {}

  private record ReclaimRequest(String domain, List<String> instanceIds, long noticeMs) {}

  private record ReclaimResponse(List<String> instances, long endsAt) {}

  private ReclaimResponse reclaim(JsonNode body) {
    ReclaimRequest request = JsonHttp.fromJson(body, ReclaimRequest.class);
    long endsAt = System.currentTimeMillis() + request.noticeMs();
    List<String> ids = request.instanceIds() == null ? List.of() : request.instanceIds();
    return new ReclaimResponse(state.reclaim(request.domain(), ids, endsAt), endsAt);
  }
}
