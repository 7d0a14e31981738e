package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The baseline: a caller without the system in between. It takes the live endpoints from the
 * instance list, goes round them, and sends any call again that failed.
 *
 * <p>Safe for use by any thread.
 */
public final class DirectCaller implements Caller {
  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final int MAX_TRIES = 4;
  private static final long LIST_VALID_MILLIS = 1_000;

  private final CallerHttpClient httpClient = new CallerHttpClient("none");
  private final String instanceListUrl;
  private final String prefix;
  private final AtomicInteger turn = new AtomicInteger();
  private final AtomicInteger sequence = new AtomicInteger();
  private List<JsonNode> live = List.of();
  private long listedAtMillis;

  private DirectCaller(String instanceListUrl, String prefix) {
    this.instanceListUrl = instanceListUrl;
    this.prefix = prefix;
  }

  /** Creates a caller that reads an instance list and puts a prefix before its request ids. */
  public static DirectCaller create(String instanceListUrl, String prefix) {
    return new DirectCaller(instanceListUrl, prefix);
  }

  @Override
  public CallReport call(CallSpec spec) {
    CallProgress progress = new CallProgress(spec);
    String id = prefix + sequence.incrementAndGet();
    progress.addRequestId(id);
    boolean begun = false;
    for (int attempt = 1; attempt <= MAX_TRIES; attempt++) {
      progress.recordTry();
      try {
        String url = next(spec.service());
        Map<String, String> headers =
            Map.of("X-Request-Id", id, "X-Attempt", Integer.toString(attempt));
        begun = true;
        String answer =
            spec.kind() == CallSpec.Kind.CHAT
                ? chat(url, headers, progress)
                : plain(url, headers, spec);
        progress.recordFirstToken();
        boolean right = answer.equals(spec.expectedAnswer());
        return progress.toReport(right ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG);
      } catch (IOException e) {
        progress.recordError(e.toString());
      }
    }
    return progress.toReport(begun ? CallReport.Outcome.LOST : CallReport.Outcome.REFUSED);
  }

  private String plain(String url, Map<String, String> headers, CallSpec spec) throws IOException {
    HttpResponse<String> answer =
        httpClient.send(spec.method(), url + spec.path(), spec.body(), headers, TIMEOUT);
    if (answer.statusCode() != 200) {
      throw new IOException("status " + answer.statusCode());
    }
    return answer.body();
  }

  private String chat(String url, Map<String, String> headers, CallProgress progress)
      throws IOException {
    HttpResponse<InputStream> response =
        httpClient.openStream(
            "POST",
            url + "/v1/chat/completions",
            ChatRequestBody.toJson(progress.spec()),
            headers,
            TIMEOUT);
    if (response.statusCode() != 200) {
      response.body().close();
      throw new IOException("status " + response.statusCode());
    }
    StreamAssembler answer = new StreamAssembler();
    try (ServerSentEventReader events = new ServerSentEventReader(response.body())) {
      ServerSentEventReader.Event event = events.readEvent();
      while (event != null && !answer.isComplete()) {
        if (answer.append(event)) {
          progress.recordFirstToken();
        }
        event = events.readEvent();
      }
    } catch (IOException e) {
      progress.addDiscardedTokens(answer.text().length() / 4);
      throw e;
    }
    if (!answer.isComplete()) {
      progress.addDiscardedTokens(answer.text().length() / 4);
      throw new IOException("the stream was cut");
    }
    return answer.text();
  }

  // ---- Instance list ----

  private synchronized String next(String service) throws IOException {
    long now = System.currentTimeMillis();
    if (now - listedAtMillis > LIST_VALID_MILLIS) {
      HttpResponse<String> answer = httpClient.get(instanceListUrl + "/v1/instances");
      List<JsonNode> found = new ArrayList<>();
      for (JsonNode i : CallerHttpClient.parseJson(answer.body()).path("instances")) {
        if (i.path("state").asText().equals("live")) {
          found.add(i);
        }
      }
      live = found;
      listedAtMillis = now;
    }
    List<JsonNode> serving =
        live.stream().filter(i -> i.path("service").asText().equals(service)).toList();
    if (serving.isEmpty()) {
      throw new IOException("no live endpoint of " + service);
    }
    JsonNode chosen = serving.get(Math.floorMod(turn.getAndIncrement(), serving.size()));
    return "http://" + chosen.path("host").asText() + ":" + chosen.path("port").asInt();
  }
}
