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
 * Prints the history of one request from daemons' log lines, in the order of time over all daemons,
 * with what was logged of the endpoints that it was sent to shortly before and after. No daemon is
 * asked. Lines may bear any text before their JSON; what is no JSON is counted. Stateless.
 */
final class ExplainCommand implements Command {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** How far from the request's own lines a line about one of its endpoints is shown. */
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
    private int unreadable;
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
    return "ID [FILE...]: print a request's history from log lines, of standard input by default";
  }

  @Override
  public ExitStatus run(OptionSet options, CliContext context) throws IOException {
    List<?> words = options.nonOptionArguments();
    if (words.isEmpty()) {
      throw new UsageException("explain takes ID and perhaps files");
    }
    String id = words.get(0).toString();
    ParsedLog log = new ParsedLog();
    if (words.size() == 1) {
      read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), "", log);
    }
    for (Object file : words.subList(1, words.size())) {
      try (BufferedReader reader = Files.newBufferedReader(Path.of(file.toString()))) {
        read(reader, file.toString(), log);
      }
    }
    List<LogLine> history = history(id, log.lines);
    print(history, id, log.unreadable, context.printer());
    return history.isEmpty() ? ExitStatus.REFUSED : ExitStatus.OK;
  }

  private static void read(BufferedReader reader, String file, ParsedLog log) throws IOException {
    String line = reader.readLine();
    while (line != null) {
      int start = line.indexOf('{');
      String before = start < 0 ? "" : line.substring(0, start).trim();
      if (start < 0 || !add(line.substring(start), before.isEmpty() ? file : before, log)) {
        log.unreadable += line.isBlank() ? 0 : 1;
      }
      line = reader.readLine();
    }
  }

  private static boolean add(String text, String source, ParsedLog log) {
    try {
      JsonNode body = JSON.readTree(text);
      log.lines.add(new LogLine(Instant.parse(body.path("time").asText()), source, body));
      return true;
    } catch (IOException | DateTimeParseException e) {
      // Counted by the caller: other programs may write to the same stream.
      return false;
    }
  }

  private static List<LogLine> history(String id, List<LogLine> lines) {
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
      boolean near = line.time.isAfter(from) && line.time.isBefore(to);
      boolean ofRequest = line.body.has("id");
      if (near && !ofRequest && endpoints.contains(line.body.path("endpoint").asText())) {
        history.add(line);
      }
    }
    history.sort(Comparator.comparing(LogLine::time));
    return history;
  }

  private static void print(List<LogLine> history, String id, int unreadable, Printer printer) {
    if (printer.isJson()) {
      ArrayNode lines = JsonNodeFactory.instance.arrayNode();
      history.forEach(line -> lines.add(line.body));
      ObjectNode tree = JsonNodeFactory.instance.objectNode().put("unreadable", unreadable);
      tree.set("lines", lines);
      printer.printJson(tree);
      return;
    }
    for (LogLine line : history) {
      String mark = line.hasField("id", id) ? "*" : " ";
      printer.printLine(
          mark
              + " "
              + line.time
              + "  "
              + line.source
              + "  "
              + line.body.path("message").asText()
              + fields(line.body));
    }
    if (history.isEmpty()) {
      printer.printLine("no line names request " + id);
    }
    if (unreadable > 0) {
      printer.printLine(unreadable + " lines were not readable as log lines");
    }
  }

  private static String fields(JsonNode body) {
    StringJoiner fields = new StringJoiner(" ", "  ", "");
    for (Map.Entry<String, JsonNode> field : body.properties()) {
      if (!OMITTED_FIELDS.contains(field.getKey())) {
        fields.add(field.getKey() + "=" + field.getValue().asText());
      }
    }
    return fields.toString();
  }
}
