package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import joptsimple.OptionSet;
import org.heatherspread.cli.ExitStatus;

/**
 * Prints the history of a request from the log lines of daemons, sorted by time. The history
 * contains the lines with the request's id, and lines without a request id about the endpoints of
 * the request within {@link #CONTEXT_WINDOW}. No daemon is called.
 *
 * <p>A log line is a JSON object that may follow other text, such as a prefix added by a log
 * collector; that text, if any, replaces the file name as the source of the line. Other non-blank
 * lines are counted as unreadable.
 *
 * <p>Stateless and thread-safe.
 */
final class ExplainCommand implements Command {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Extends the history before the request's first line and after its last line. */
  private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(5);

  private static final Set<String> OMITTED_FIELDS =
      Set.of("time", "message", "id", "level", "logger");

  private record LogLine(Instant time, String source, JsonNode body) {
    boolean hasField(String field, String value) {
      return body.path(field).asText().equals(value);
    }
  }

  private static final class ParsedLog {
    private final List<LogLine> lines = new ArrayList<>();
    private int unreadableCount;
  }

  static List<Command> all() {
    return List.of(new ExplainCommand());
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "ID [FILE...]: print the history of a request from log files or standard input";
  }

  @Override
  public ExitStatus run(OptionSet options, CliContext context) throws IOException {
    List<?> arguments = options.nonOptionArguments();
    if (arguments.isEmpty()) {
      throw new UsageException("explain takes ID [FILE...]");
    }
    String id = arguments.get(0).toString();
    ParsedLog log = new ParsedLog();
    if (arguments.size() == 1) {
      readLines(
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), "", log);
    }
    for (Object file : arguments.subList(1, arguments.size())) {
      try (BufferedReader reader = Files.newBufferedReader(Path.of(file.toString()))) {
        readLines(reader, file.toString(), log);
      }
    }
    List<LogLine> history = collectHistory(id, log.lines);
    printHistory(history, id, log.unreadableCount, context.printer());
    return history.isEmpty() ? ExitStatus.REFUSED : ExitStatus.OK;
  }

  private static void readLines(BufferedReader reader, String file, ParsedLog log)
      throws IOException {
    String line = reader.readLine();
    while (line != null) {
      int start = line.indexOf('{');
      String prefix = start < 0 ? "" : line.substring(0, start).trim();
      if (start < 0 || !addLine(line.substring(start), prefix.isEmpty() ? file : prefix, log)) {
        log.unreadableCount += line.isBlank() ? 0 : 1;
      }
      line = reader.readLine();
    }
  }

  private static boolean addLine(String text, String source, ParsedLog log) {
    try {
      JsonNode body = JSON.readTree(text);
      log.lines.add(new LogLine(Instant.parse(body.path("time").asText()), source, body));
      return true;
    } catch (IOException | DateTimeParseException e) {
      // Other programs may write to the same stream; the caller counts the line as unreadable.
      return false;
    }
  }

  private static List<LogLine> collectHistory(String id, List<LogLine> lines) {
    List<LogLine> history = new ArrayList<>();
    Set<String> endpoints = new HashSet<>();
    for (LogLine line : lines) {
      if (line.hasField("id", id)) {
        history.add(line);
        endpoints.add(line.body.path("endpoint").asText());
      }
    }
    endpoints.remove("");
    if (history.isEmpty()) {
      return history;
    }
    history.sort(Comparator.comparing(LogLine::time));
    Instant from = history.get(0).time.minus(CONTEXT_WINDOW);
    Instant to = history.get(history.size() - 1).time.plus(CONTEXT_WINDOW);
    for (LogLine line : lines) {
      boolean inWindow = line.time.isAfter(from) && line.time.isBefore(to);
      boolean hasRequestId = line.body.has("id");
      if (inWindow && !hasRequestId && endpoints.contains(line.body.path("endpoint").asText())) {
        history.add(line);
      }
    }
    history.sort(Comparator.comparing(LogLine::time));
    return history;
  }

  private static void printHistory(
      List<LogLine> history, String id, int unreadableCount, Printer printer) {
    if (printer.isJson()) {
      ArrayNode lines = JsonNodeFactory.instance.arrayNode();
      history.forEach(line -> lines.add(line.body));
      ObjectNode tree = JsonNodeFactory.instance.objectNode().put("unreadable", unreadableCount);
      tree.set("lines", lines);
      printer.printJson(tree);
      return;
    }
    for (LogLine line : history) {
      String marker = line.hasField("id", id) ? "*" : " ";
      printer.printLine(
          marker
              + " "
              + line.time
              + "  "
              + line.source
              + "  "
              + line.body.path("message").asText()
              + formatFields(line.body));
    }
    if (history.isEmpty()) {
      printer.printLine("no log line has the id of request " + id);
    }
    if (unreadableCount > 0) {
      printer.printLine(unreadableCount + " lines were not readable as log lines");
    }
  }

  private static String formatFields(JsonNode body) {
    StringJoiner fields = new StringJoiner(" ", "  ", "");
    for (Map.Entry<String, JsonNode> field : body.properties()) {
      if (!OMITTED_FIELDS.contains(field.getKey())) {
        fields.add(field.getKey() + "=" + field.getValue().asText());
      }
    }
    return fields.toString();
  }
}
