package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads the ledgers that the endpoints of a run wrote. Stateless; safe for use by any thread. */
public final class ExecutionLogReader {
  private static final String FILE_SUFFIX = ".ledger";

  private ExecutionLogReader() {}

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
  public record Entry(
      long millis,
      String instance,
      String requestId,
      String event,
      int tokens,
      int recomputedTokens,
      String detail) {
    /** Tells whether the line says that a run began. */
    public boolean isStart() {
      return event.equals("started");
    }

    /** Tells whether the line says that a run ended. */
    public boolean isEnd() {
      return event.equals("finished") || event.equals("cancelled");
    }
  }

  /** Reads all ledgers in a directory whose names begin with a prefix. */
  public static List<Entry> read(Path dir, String prefix) throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(dir)) {
      files = all.filter(f -> isExecutionLog(f.getFileName().toString(), prefix)).toList();
    }
    List<Entry> entries = new ArrayList<>();
    for (Path file : files) {
      for (String line : Files.readAllLines(file)) {
        entries.add(toEntry(CallerHttpClient.parseJson(line)));
      }
    }
    return entries;
  }

  private static boolean isExecutionLog(String name, String prefix) {
    return name.startsWith(prefix) && name.endsWith(FILE_SUFFIX);
  }

  private static Entry toEntry(JsonNode json) {
    return new Entry(
        json.path("t").asLong(),
        json.path("instance").asText(),
        json.path("request_id").asText(),
        json.path("event").asText(),
        json.path("tokens").asInt(),
        json.path("recomputed_tokens").asInt(),
        json.path("detail").asText());
  }
}
