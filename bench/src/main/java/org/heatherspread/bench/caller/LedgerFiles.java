package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads the ledgers that the endpoints of a run wrote. Stateless; safe for use by any thread. */
public final class LedgerFiles {
  private static final String SUFFIX = ".ledger";

  private LedgerFiles() {}

  /**
   * One line of a ledger; see the stand-in's {@code Ledger}. Immutable.
   *
   * @param millis milliseconds since the epoch
   * @param instance id of the endpoint
   * @param requestId id under which the endpoint was asked
   * @param event started, finished, cancelled or refused
   * @param tokens prompt tokens where started, answer tokens where ended
   * @param recomputedTokens tokens computed again for a later attempt
   * @param detail the call of a plain service, or the reason
   */
  public record Line(
      long millis,
      String instance,
      String requestId,
      String event,
      int tokens,
      int recomputedTokens,
      String detail) {
    /** Tells whether the line says that a run began. */
    public boolean started() {
      return event.equals("started");
    }

    /** Tells whether the line says that a run ended. */
    public boolean ended() {
      return event.equals("finished") || event.equals("cancelled");
    }
  }

  /** Reads all ledgers in a directory whose names begin with a prefix. */
  public static List<Line> read(Path dir, String prefix) throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(dir)) {
      files = all.filter(f -> matches(f.getFileName().toString(), prefix)).toList();
    }
    List<Line> lines = new ArrayList<>();
    for (Path file : files) {
      for (String text : Files.readAllLines(file)) {
        lines.add(line(HttpCalls.json(text)));
      }
    }
    return lines;
  }

  private static boolean matches(String name, String prefix) {
    return name.startsWith(prefix) && name.endsWith(SUFFIX);
  }

  private static Line line(JsonNode json) {
    return new Line(
        json.path("t").asLong(),
        json.path("instance").asText(),
        json.path("request_id").asText(),
        json.path("event").asText(),
        json.path("tokens").asInt(),
        json.path("recomputed_tokens").asInt(),
        json.path("detail").asText());
  }
}
