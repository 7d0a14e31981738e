package org.heatherspread.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.heatherspread.standin.answer.PlainResponseGenerator;
import org.heatherspread.standin.http.StandinServer;
import org.heatherspread.standin.plain.PlainSettings;
import org.heatherspread.standin.plain.PlainStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlainStandinTest {
  @TempDir Path dir;
  private StandinServer server;
  private StandinClient client;

  @BeforeEach
  void start() {
    ExecutionLog executionLog = ExecutionLog.open(dir.resolve("ledger"));
    PlainSettings settings = new PlainSettings("p1", 0, 0, 1);
    server =
        StandinServer.start("127.0.0.1", 0, s -> PlainStandin.create(s, settings, executionLog));
    client = new StandinClient(server.port());
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private HttpResponse<String> sendRenewal() throws Exception {
    return client.send("POST", "/renewals", "{\"tag\":\"TR-34\"}", "X-Request-Id", "r1");
  }

  @Test
  void responseDependsOnlyOnRequest() throws Exception {
    HttpResponse<String> response = sendRenewal();
    assertThat(response.body())
        .isEqualTo(
            PlainResponseGenerator.generate("POST", "/renewals", "{\"tag\":\"TR-34\"}".getBytes()))
        .contains("receipt");
    assertThat(response.headers().firstValue("X-Request-Id")).contains("r1");
    assertThat(response.headers().firstValue("X-Attempt")).contains("1");
  }

  @Test
  void requestIsExecutedDespiteAbortedResponse() throws Exception {
    client.send("POST", "/standin/faults", "{\"cut\":1.0}");
    assertThatThrownBy(this::sendRenewal).isInstanceOf(IOException.class);
    assertThat(Files.readString(dir.resolve("ledger"))).contains("started", "finished");
  }

  @Test
  void refusedRequestIsNotExecuted() throws Exception {
    client.send("POST", "/standin/faults", "{\"refuse\":1.0}");
    HttpResponse<String> response = sendRenewal();
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.headers().firstValue("X-Not-Run")).contains("true");
    assertThat(Files.readString(dir.resolve("ledger"))).doesNotContain("started");
  }

  @Test
  void misdirectedResponseCarriesForeignId() throws Exception {
    client.send("POST", "/standin/faults", "{\"crossed\":1.0}");
    assertThat(sendRenewal().headers().firstValue("X-Request-Id")).contains("crossed-r1");
  }
}
