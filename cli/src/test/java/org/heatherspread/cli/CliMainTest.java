package org.heatherspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CliMainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<String> received = new ArrayList<>();
  private HttpServer daemon;

  @BeforeEach
  void startDaemon() throws IOException {
    daemon = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    respond("/operator/v1/plans", 200, "{\"id\":\"p1\",\"base_version\":3,\"steps\":[]}");
    respond("/operator/v1/plans/p1/confirm", 200, "{\"version\":4,\"in_force\":true}");
    respond(
        "/operator/v1/plans/p2/confirm", 409, "{\"kind\":\"plan-conflict\",\"detail\":\"by bea\"}");
    daemon.start();
  }

  @AfterEach
  void stopDaemon() {
    daemon.stop(0);
  }

  @Test
  void intentWithYesIsPlannedAndConfirmed() {
    ExitStatus status = run("keep", "assistant", "kadikoy", "--yes", "--json");
    assertThat(status).isEqualTo(ExitStatus.OK);
    assertThat(received)
        .containsExactly(
            "Bearer k {\"kind\":\"keep_serving\",\"service\":\"assistant\",\"domain\":\"kadikoy\"}",
            "Bearer k ");
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo("{\"version\":4,\"in_force\":true}\n");
  }

  @Test
  void planIsNotConfirmedWithoutYes() {
    assertThat(run("model", "retire", "assistant", "v1")).isEqualTo(ExitStatus.OK);
    assertThat(received).hasSize(1);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("Nothing has changed");
  }

  @Test
  void conflictHasItsOwnExitCode() {
    assertThat(run("plan", "confirm", "p2")).isEqualTo(ExitStatus.CONFLICT);
  }

  @Test
  void unreachableDaemonIsSkipped() {
    String unreachable = "http://127.0.0.1:1";
    assertThat(run("plan", "confirm", "p1", "--daemon", unreachable)).isEqualTo(ExitStatus.OK);
    assertThat(
            CliMain.run(
                new String[] {"status", "--daemon", unreachable},
                new PrintStream(out),
                new PrintStream(err)))
        .isEqualTo(ExitStatus.UNREACHABLE);
  }

  @Test
  void invalidUsageIsReportedWithExitCode() {
    assertThat(run("keep", "assistant")).isEqualTo(ExitStatus.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("keep takes [service, domain]");
    assertThat(run("members", "--nonsense")).isEqualTo(ExitStatus.USAGE);
    assertThat(run("nonsense")).isEqualTo(ExitStatus.USAGE);
  }

  private ExitStatus run(String... arguments) {
    List<String> allArguments = new ArrayList<>(List.of(arguments));
    allArguments.addAll(
        List.of("--key", "k", "--daemon", "http://127.0.0.1:" + daemon.getAddress().getPort()));
    return CliMain.run(
        allArguments.toArray(String[]::new),
        new PrintStream(out, true),
        new PrintStream(err, true));
  }

  private void respond(String path, int status, String body) {
    daemon.createContext(
        path,
        exchange -> {
          String sent =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          received.add(exchange.getRequestHeaders().getFirst("Authorization") + " " + sent);
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
  }
}
