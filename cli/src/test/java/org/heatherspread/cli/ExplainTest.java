package org.heatherspread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainTest {
  private static final String FIRST_LOG =
      """
       4.1 daemon-1 {"time":"2026-03-31T10:00:02Z","message":"request ended","id":"r1","status":502}
      not a log line
       4.0 daemon-1 {"time":"2026-03-31T10:00:01Z","message":"attempt ended","id":"r1","endpoint":"e7"}
       4.0 daemon-1 {"time":"2026-03-31T10:00:01Z","message":"request ended","id":"r2","endpoint":"e7"}
      """;

  private static final String SECOND_LOG =
      """
      {"time":"2026-03-31T10:00:00Z","message":"endpoint registered","endpoint":"e7","leaving":true}
      {"time":"2026-03-31T09:00:00Z","message":"endpoint registered","endpoint":"e7"}
      {"time":"not a time","message":"x","id":"r1"}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private ExitStatus run(String... arguments) {
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    return CliMain.run(arguments, stream, stream);
  }

  @Test
  void printsRequestHistoryAcrossDaemons(@TempDir Path directory) throws IOException {
    Path first = Files.writeString(directory.resolve("one.log"), FIRST_LOG);
    Path second = Files.writeString(directory.resolve("two.log"), SECOND_LOG);
    assertThat(run("explain", "r1", first.toString(), second.toString())).isEqualTo(ExitStatus.OK);
    String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
    assertThat(lines).hasSize(4);
    assertThat(lines[0])
        .contains("10:00:00")
        .contains("endpoint registered")
        .contains("leaving=true");
    assertThat(lines[1]).startsWith("*").contains("attempt ended").contains("endpoint=e7");
    assertThat(lines[2]).startsWith("*").contains("status=502");
    assertThat(lines[3]).isEqualTo("2 lines were not readable as log lines");
  }

  @Test
  void missingRequestIsReportedWithExitCode(@TempDir Path directory) throws IOException {
    Path first = Files.writeString(directory.resolve("one.log"), FIRST_LOG);
    assertThat(run("explain", "r9", first.toString())).isEqualTo(ExitStatus.REFUSED);
  }

  @Test
  void missingIdIsInvalidUsage() {
    assertThat(run("explain")).isEqualTo(ExitStatus.USAGE);
  }
}
