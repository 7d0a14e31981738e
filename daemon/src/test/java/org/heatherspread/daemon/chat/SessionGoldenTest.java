package org.heatherspread.daemon.chat;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Compares complete sessions byte for byte with golden files. {@code -Dgolden.write=true} rewrites
 * the files; review the differences before committing them.
 */
class SessionGoldenTest {
  private static final Path GOLDEN_DIRECTORY = Path.of("src/test/resources/golden");

  private final StringBuilder transcript = new StringBuilder();

  @Test
  void patikoopCounter() throws Exception {
    try (ChatFixture fixture = new ChatFixture(1)) {
      get(fixture, "/v1/models");
      chat(
          fixture, completionBody("assistant", "Vaccinations of Pamuk, cat, chip 792-11", 4, true));
      chat(fixture, completionBody("assistant", "Vaccinations of Karabas, dog", 3, false));
      chat(fixture, completionBody("assistant:vets", "Tag 4411 seen in Moda", 2, false));
      chat(fixture, completionBody("assistant@v9", "Vaccinations of Pamuk", 2, false));
      chat(fixture, "{\"model\":\"assistant\",\"messages\":[]}");
      chat(fixture, "{\"model\":");
      get(fixture, "/v1/requests/r1~no~1~such~1~1");
    }
    assertMatchesGolden("patikoop-counter.txt");
  }

  @Test
  void oberlandSigns() throws Exception {
    try (ChatFixture fixture = new ChatFixture(2, "signs")) {
      get(fixture, "/v1/models");
      chat(
          fixture,
          completionBody("signs", "Christkindlmarkt, Rosenheim P3, 412 of 420 taken", 5, true));
      chat(fixture, completionBody("signs", "Two disabled bays free in Weilheim", 3, false));
      chat(fixture, completionBody("assistant", "Vaccinations of Pamuk", 2, true));
      HttpRequest.Builder call =
          fixture.requestBuilder("/v1/models").setHeader("Authorization", "Bearer x");
      record("GET /v1/models with a wrong key", fixture.send(call.build()));
    }
    assertMatchesGolden("oberland-signs.txt");
  }

  @Test
  void twoEnginesReclaimedDuringStream() throws Exception {
    try (ChatFixture fixture = new ChatFixture(3)) {
      failAfter(fixture.engine(0), 3);
      failAfter(fixture.engine(1), 6);
      chat(fixture, completionBody("assistant", "Vaccinations of the whole Moda litter", 8, true));
      for (FakeEngine engine : fixture.engines) {
        transcript
            .append(engine.instance().id())
            .append(": ")
            .append(engine.requestLog)
            .append('\n');
      }
    }
    assertMatchesGolden("reclaim-wave.txt");
  }

  private static void failAfter(FakeEngine engine, int tokens) {
    engine.disconnectAfterTokens = tokens;
    engine.loseStreams = true;
  }

  private static String completionBody(String model, String prompt, int tokens, boolean stream) {
    String options = stream ? "\"stream_options\":{\"include_usage\":true}," : "";
    String message = "{\"role\":\"user\",\"content\":\"" + prompt + "\"}";
    return "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,%s\"messages\":[%s]}"
        .formatted(model, stream, tokens, options, message);
  }

  private void chat(ChatFixture fixture, String body) throws Exception {
    record("POST /v1/chat/completions\n" + body, fixture.chat(body));
  }

  private void get(ChatFixture fixture, String path) throws Exception {
    record("GET " + path, fixture.send(fixture.requestBuilder(path).build()));
  }

  private void record(String request, HttpResponse<String> response) {
    String type = response.headers().firstValue("Content-Type").orElse("");
    String text =
        "> %s\n< %d %s\n%s\n\n"
            .formatted(request, response.statusCode(), type, response.body().strip());
    transcript.append(normalize(text));
  }

  /** Replaces request ids and creation times, which differ between runs. */
  private static String normalize(String text) {
    return text.replaceAll("local-[0-9a-f-]{36}", "REQUEST")
        .replaceAll("\"created\":\\d+", "\"created\":0");
  }

  private void assertMatchesGolden(String file) throws IOException {
    Path golden = GOLDEN_DIRECTORY.resolve(file);
    if (Boolean.getBoolean("golden.write")) {
      Files.createDirectories(GOLDEN_DIRECTORY);
      Files.writeString(golden, transcript);
    }
    assertThat(transcript.toString()).isEqualTo(Files.readString(golden));
  }
}
