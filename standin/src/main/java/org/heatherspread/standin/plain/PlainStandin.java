package org.heatherspread.standin.plain;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.heatherspread.standin.Ledger;
import org.heatherspread.standin.answer.PlainAnswers;
import org.heatherspread.standin.http.Answers;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.Standin;

/**
 * The stand-in plain service; see section 3 of docs/INTERFACES.md. Every call that is not refused
 * runs and is written to the ledger, reads included; probes of {@code /health/live} are no calls.
 *
 * <p>Safe for use by any thread.
 */
public final class PlainStandin implements Standin {
  private static final int CRASH_STATUS = 134;
  private static final String FAULTS = "/standin/faults";
  private static final String HEALTH = "/health/live";

  private final ActorSystem<?> system;
  private final PlainSettings settings;
  private final Ledger ledger;
  private final Random random;
  private volatile PlainFaults faults = PlainFaults.none();

  private PlainStandin(ActorSystem<?> system, PlainSettings settings, Ledger ledger) {
    this.system = system;
    this.settings = settings;
    this.ledger = ledger;
    this.random = new Random(settings.seed());
  }

  /** Starts a plain service. */
  public static PlainStandin create(ActorSystem<?> system, PlainSettings settings, Ledger ledger) {
    return new PlainStandin(system, settings, ledger);
  }

  private record Call(
      String method, String path, byte[] body, String requestId, long attempt, String key) {
    String name() {
      return method + " " + path;
    }
  }

  @Override
  public CompletionStage<HttpResponse> handle(HttpRequest request) {
    String path = request.getUri().path();
    if (path.equals(HEALTH)) {
      request.discardEntityBytes(system);
      return CompletableFuture.completedFuture(JsonHttp.answer(200, JsonHttp.object()));
    }
    String requestId = JsonHttp.header(request, "X-Request-Id", "");
    long attempt = JsonHttp.header(request, "X-Attempt", 1);
    String key = JsonHttp.header(request, "Idempotency-Key", null);
    return JsonHttp.body(request, system)
        .thenCompose(
            body -> {
              if (path.equals(FAULTS)) {
                return setFaults(body);
              }
              return run(new Call(request.method().name(), path, body, requestId, attempt, key));
            });
  }

  private CompletionStage<HttpResponse> run(Call call) {
    PlainFaults now = faults;
    if (random.nextDouble() < now.refuse()) {
      record(call, Ledger.Event.REFUSED, null);
      return CompletableFuture.completedFuture(
          answer(JsonHttp.notRun("refused"), call.requestId(), call.attempt()));
    }
    record(call, Ledger.Event.STARTED, null);
    if (now.crashesOn(new String(call.body(), StandardCharsets.UTF_8))) {
      Runtime.getRuntime().halt(CRASH_STATUS);
    }
    boolean read = call.method().equals("GET") || call.method().equals("HEAD");
    return Answers.after(read ? settings.readMillis() : settings.writeMillis())
        .thenCompose(done -> finish(call));
  }

  private CompletionStage<HttpResponse> finish(Call call) {
    String text = PlainAnswers.answer(call.method(), call.path(), call.body());
    record(call, Ledger.Event.FINISHED, Ledger.sha256(text.getBytes(StandardCharsets.UTF_8)));
    PlainFaults now = faults;
    if (now.stall()) {
      return Answers.never();
    }
    return Answers.after(now.lateMillis()).thenApply(done -> answerOf(call, text, now));
  }

  private HttpResponse answerOf(Call call, String text, PlainFaults now) {
    if (random.nextDouble() < now.cut()) {
      return Answers.cut();
    }
    if (random.nextDouble() < now.crossed()) {
      String foreign = PlainAnswers.answer(call.method(), call.path() + "/crossed", call.body());
      return answer(json(foreign), "crossed-" + call.requestId(), call.attempt());
    }
    return answer(json(text), call.requestId(), call.attempt());
  }

  private static HttpResponse json(String text) {
    return HttpResponse.create()
        .withEntity(org.apache.pekko.http.javadsl.model.ContentTypes.APPLICATION_JSON, text);
  }

  private static HttpResponse answer(HttpResponse answer, String requestId, long attempt) {
    return answer
        .addHeader(RawHeader.create("X-Request-Id", requestId))
        .addHeader(RawHeader.create("X-Attempt", Long.toString(attempt)));
  }

  private CompletionStage<HttpResponse> setFaults(byte[] body) {
    PlainFaults next = JsonHttp.patched(faults, JsonHttp.parse(body), PlainFaults.class);
    if (next.crashNow()) {
      Runtime.getRuntime().halt(CRASH_STATUS);
    }
    faults = next;
    return CompletableFuture.completedFuture(JsonHttp.answer(200, next));
  }

  private void record(Call call, Ledger.Event event, String hash) {
    ledger.write(
        new Ledger.Entry(
            System.currentTimeMillis(),
            settings.id(),
            call.requestId(),
            call.attempt(),
            call.key(),
            event,
            0,
            0,
            hash,
            call.name()));
  }
}
