package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads the execution logs that the stand-in endpoints write. Stateless and thread-safe. */
public final class ExecutionLogReader {
  private static final String FILE_SUFFIX = ".ledger";

  private ExecutionLogReader() {}

  /**
   * One entry of an execution log. Immutable.
   *
   * @param millis milliseconds since the epoch
   * @param instance id of the endpoint
   * @param requestId request id that the endpoint received
   * @param event {@code started}, {@code finished}, {@code cancelled} or {@code refused}
   * @param tokens prompt tokens not found in the cache for a start, generated tokens for an end
   * @param recomputedTokens tokens computed again by a later attempt
   * @param detail method and path of a plain call, or the reason of a refusal or cancellation
   */
  public record Entry(
      long millis,
      String instance,
      String requestId,
      String event,
      int tokens,
      int recomputedTokens,
      String detail) {
    /** Returns whether an execution started. */
    public boolean isStart() {
      return event.equals("started");
    }

    /** Returns whether an execution ended. */
    public boolean isEnd() {
      return event.equals("finished") || event.equals("cancelled");
    }
  }

  /** Reads all execution logs in a directory whose file names start with the given prefix. */
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
