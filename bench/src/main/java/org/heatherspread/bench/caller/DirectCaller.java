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
 * Calls endpoints directly, without the router, as the baseline of a comparison. Live endpoints are
 * taken from the instance list in round-robin order, and every failed call is retried, even if it
 * may have run.
 *
 * <p>Thread-safe.
 */
public final class DirectCaller implements Caller {
  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final int MAX_ATTEMPTS = 4;
  private static final long INSTANCE_LIST_TTL_MILLIS = 1_000;

  private final CallerHttpClient httpClient = new CallerHttpClient("none");
  private final String instanceListUrl;
  private final String requestIdPrefix;
  private final AtomicInteger nextEndpoint = new AtomicInteger();
  private final AtomicInteger sequence = new AtomicInteger();
  private List<JsonNode> liveInstances = List.of();
  private long fetchedAtMillis;

  private DirectCaller(String instanceListUrl, String requestIdPrefix) {
    this.instanceListUrl = instanceListUrl;
    this.requestIdPrefix = requestIdPrefix;
  }

  /** Creates a caller whose request ids start with the given prefix. */
  public static DirectCaller create(String instanceListUrl, String requestIdPrefix) {
    return new DirectCaller(instanceListUrl, requestIdPrefix);
  }

  @Override
  public CallReport call(CallSpec spec) {
    CallProgress progress = new CallProgress(spec);
    String requestId = requestIdPrefix + sequence.incrementAndGet();
    progress.addRequestId(requestId);
    boolean endpointFound = false;
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      progress.recordTry();
      try {
        String url = selectEndpoint(spec.service());
        Map<String, String> headers =
            Map.of("X-Request-Id", requestId, "X-Attempt", Integer.toString(attempt));
        endpointFound = true;
        String answer =
            spec.kind() == CallSpec.Kind.CHAT
                ? callChat(url, headers, progress)
                : callPlain(url, headers, spec);
        progress.recordFirstToken();
        boolean correct = answer.equals(spec.expectedAnswer());
        return progress.toReport(correct ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG);
      } catch (IOException e) {
        progress.recordError(e.toString());
      }
    }
    return progress.toReport(endpointFound ? CallReport.Outcome.LOST : CallReport.Outcome.REFUSED);
  }

  private String callPlain(String url, Map<String, String> headers, CallSpec spec)
      throws IOException {
    HttpResponse<String> response =
        httpClient.send(spec.method(), url + spec.path(), spec.body(), headers, TIMEOUT);
    if (response.statusCode() != 200) {
      throw new IOException("unexpected status " + response.statusCode());
    }
    return response.body();
  }

  private String callChat(String url, Map<String, String> headers, CallProgress progress)
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
      throw new IOException("unexpected status " + response.statusCode());
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
      // A token of the stand-in engine has 4 characters.
      progress.addDiscardedTokens(answer.text().length() / 4);
      throw e;
    }
    if (!answer.isComplete()) {
      progress.addDiscardedTokens(answer.text().length() / 4);
      throw new IOException("stream ended before the completion was complete");
    }
    return answer.text();
  }

  private synchronized String selectEndpoint(String service) throws IOException {
    long now = System.currentTimeMillis();
    if (now - fetchedAtMillis > INSTANCE_LIST_TTL_MILLIS) {
      HttpResponse<String> response = httpClient.get(instanceListUrl + "/v1/instances");
      List<JsonNode> found = new ArrayList<>();
      for (JsonNode i : CallerHttpClient.parseJson(response.body()).path("instances")) {
        if (i.path("state").asText().equals("live")) {
          found.add(i);
        }
      }
      liveInstances = found;
      fetchedAtMillis = now;
    }
    List<JsonNode> serving =
        liveInstances.stream().filter(i -> i.path("service").asText().equals(service)).toList();
    if (serving.isEmpty()) {
      throw new IOException("instance list has no live endpoint of service " + service);
    }
    JsonNode chosen = serving.get(Math.floorMod(nextEndpoint.getAndIncrement(), serving.size()));
    return "http://" + chosen.path("host").asText() + ":" + chosen.path("port").asInt();
  }
}
