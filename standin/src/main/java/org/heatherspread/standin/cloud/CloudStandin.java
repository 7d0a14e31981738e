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
 * The HTTP interface of the stand-in cloud: instance list, cloud API and notices of section 4 of
 * docs/INTERFACES.md, and {@code POST /standin/...} to arrange what the cloud holds and does.
 *
 * <p>Safe for use by any thread.
 */
public final class CloudStandin implements Standin {
  private static final String INSTANCES = "/v1/instances";

  private final ActorSystem<?> system;
  private final CloudModel model;

  private CloudStandin(ActorSystem<?> system, CloudSettings settings) {
    this.system = system;
    this.model = new CloudModel(settings);
  }

  /** Starts a cloud without instances or offers. */
  public static CloudStandin create(ActorSystem<?> system, CloudSettings settings) {
    return new CloudStandin(system, settings);
  }

  private record InstancesAnswer(long asOf, List<CloudInstance> instances) {}

  private record NoticesAnswer(List<CloudModel.Notice> notices, long next) {}

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (request.method().equals(HttpMethods.GET)) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(get(request, path));
    }
    if (request.method().equals(HttpMethods.DELETE) && path.startsWith(INSTANCES + "/")) {
      request.discardEntityBytes(system);
      boolean known = model.delete(path.substring(INSTANCES.length() + 1));
      return CompletableFuture.completedFuture(
          known ? JsonHttp.answer(200, JsonHttp.object()) : JsonHttp.error(404, "no such id"));
    }
    return JsonHttp.body(request, system).thenApply(body -> post(path, JsonHttp.parse(body)));
  }

  private HttpResponse get(HttpRequest request, String path) {
    return switch (path) {
      case INSTANCES -> {
        CloudModel.Listing listing = model.list();
        yield JsonHttp.answer(200, new InstancesAnswer(listing.asOf(), listing.instances()));
      }
      case "/v1/offers" -> JsonHttp.answer(200, new OffersAnswer(model.offers()));
      case "/v1/notices" -> {
        long after = JsonHttp.query(request, "after", 0);
        List<CloudModel.Notice> found = model.noticesAfter(after);
        long next = found.isEmpty() ? after : found.get(found.size() - 1).seq();
        yield JsonHttp.answer(200, new NoticesAnswer(found, next));
      }
      default -> JsonHttp.error(404, "no such path");
    };
  }

  private HttpResponse post(String path, JsonNode body) {
    return switch (path) {
      case INSTANCES -> start(body);
      case "/standin/instances" -> {
        model.add(list(body.path("instances"), CloudInstance[].class));
        yield JsonHttp.answer(200, JsonHttp.object());
      }
      case "/standin/pool" -> {
        model.addToPool(list(body.path("instances"), CloudInstance[].class));
        yield JsonHttp.answer(200, JsonHttp.object());
      }
      case "/standin/offers" -> {
        model.setOffers(list(body.path("offers"), CloudModel.Offer[].class));
        yield JsonHttp.answer(200, JsonHttp.object());
      }
      case "/standin/reclaim" -> JsonHttp.answer(200, reclaim(body));
      case "/standin/faults" -> JsonHttp.answer(200, model.setFaults(body));
      default -> JsonHttp.error(404, "no such path");
    };
  }

  private static <T> List<T> list(JsonNode array, Class<T[]> type) {
    T[] values = JsonHttp.value(array, type);
    return values == null ? List.of() : List.of(values);
  }

  private HttpResponse start(JsonNode body) {
    CloudModel.Started started = model.start(JsonHttp.value(body, CloudModel.StartCall.class));
    if (started.instance() != null) {
      return JsonHttp.answer(201, started.instance());
    }
    return JsonHttp.answer(409, JsonHttp.object().put("reason", started.reason()));
  }

  private record OffersAnswer(@JsonProperty("offers") List<CloudModel.Offer> offers) {}

  private record ReclaimCall(String domain, List<String> instanceIds, long noticeMs) {}

  private record ReclaimAnswer(List<String> instances, long endsAt) {}

  private ReclaimAnswer reclaim(JsonNode body) {
    ReclaimCall call = JsonHttp.value(body, ReclaimCall.class);
    long endsAt = System.currentTimeMillis() + call.noticeMs();
    List<String> ids = call.instanceIds() == null ? List.of() : call.instanceIds();
    return new ReclaimAnswer(model.reclaim(call.domain(), ids, endsAt), endsAt);
  }
}
