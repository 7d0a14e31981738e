package org.heatherspread.relay.call;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.heatherspread.relay.RelayHarness;

/**
 * A request of a caller. Immutable.
 *
 * @param attempt number of earlier attempts of the caller with the same id
 * @param resumeAfter event after which a stream resumes, -1 to start from its beginning
 * @param expects whether the caller announces the body before it sends it
 */
record ModelRequest(
    String id, int attempt, String method, String route, int resumeAfter, boolean expects) {
  /** Header that tells attempts with one id apart, which endpoints get unchanged. */
  static final String ATTEMPT_HEADER = "Caller-Attempt";

  private static final String[] ROUTES = {
    "/read/", "/read/", "/write/", "/write/", "/write/", "/draft/", "/draft/", "/reply/", "/once/"
  };

  /** Draws the first attempt of a request. */
  static ModelRequest draw(String id, SplittableRandom random) {
    String route = ROUTES[random.nextInt(ROUTES.length)];
    boolean isStream = !route.equals("/read/") && !route.equals("/write/");
    String method = route.equals("/write/") || random.nextInt(3) == 0 ? "POST" : "GET";
    boolean head = !isStream && random.nextInt(6) == 0;
    int resumeAfter = isStream && random.nextInt(4) == 0 ? random.nextInt(5) : -1;
    return new ModelRequest(
        id, 0, head ? "HEAD" : method, route, resumeAfter, random.nextInt(10) == 0);
  }

  /** Returns the next attempt with the same id. */
  ModelRequest repeat() {
    return new ModelRequest(id, attempt + 1, method, route, resumeAfter, expects);
  }

  /** Returns the same request with another id. */
  ModelRequest withId(String otherId) {
    return new ModelRequest(otherId, 0, method, route, resumeAfter, expects);
  }

  boolean isHead() {
    return method.equals("HEAD");
  }

  /** Returns whether endpoints may run the request more than once. */
  boolean isRepeatable() {
    return route.equals("/read/") || route.equals("/draft/");
  }

  /** Returns the message. */
  String text() {
    List<String> lines = new ArrayList<>();
    lines.add(method + ' ' + route + "a HTTP/1.1");
    lines.add("Host: x.example");
    lines.add("Attempt-Id: " + id);
    lines.add(ATTEMPT_HEADER + ": " + attempt);
    lines.add("Authorization: Bearer " + RelayHarness.KEY);
    lines.add("Deadline-Remaining: 4000");
    if (resumeAfter >= 0) {
      lines.add("Last-Event-Id: " + resumeAfter);
    }
    if (expects) {
      lines.add("Expect: 100-continue");
    }
    String body = method.equals("POST") ? "request " + id : "";
    lines.add("Content-Length: " + body.length());
    return String.join("\r\n", lines) + "\r\n\r\n" + body;
  }
}
