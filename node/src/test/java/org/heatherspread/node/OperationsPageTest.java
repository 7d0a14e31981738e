package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.heatherspread.relay.call.Refusal;
import org.junit.jupiter.api.Test;

/** Checks that the operators' page lists every refusal, metric, setting and log message. */
class OperationsPageTest {
  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
  private static final Pattern METRIC = Pattern.compile("\"(heatherspread\\.[a-z.]+)\"");
  private static final Pattern MESSAGE = Pattern.compile("\\.log\\(\\s*\"([^\"]+)\"");
  private static final Pattern SETTING =
      Pattern.compile("(?:text|duration|decimal|integer|address)\\((?:\\w+, )?\"([a-z_]+)\"");

  private static Set<String> found(Pattern pattern, String... modules) throws IOException {
    Set<String> found = new TreeSet<>();
    for (String module : modules) {
      Path sources = Path.of("..", module, "src", "main", "java");
      try (Stream<Path> files = Files.walk(sources)) {
        for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
          Matcher matcher = pattern.matcher(Files.readString(file));
          while (matcher.find()) {
            found.add(matcher.group(1));
          }
        }
      }
    }
    return found;
  }

  /** Messages logged only while a build creates the class-data archive. */
  private static final Set<String> BUILD_ONLY = Set.of("rehearsal done", "class not loaded");

  @Test
  void namesEveryRefusal() throws IOException {
    String page = Files.readString(PAGE);
    for (Refusal refusal : Refusal.values()) {
      assertThat(page).contains("`" + refusal.code() + "` | " + refusal.status());
    }
  }

  @Test
  void namesEveryMetricAndMessage() throws IOException {
    String page = Files.readString(PAGE).replaceAll("\\s+", " ");
    Set<String> metrics = found(METRIC, "node", "relay");
    assertThat(metrics).hasSizeGreaterThan(10);
    assertThat(metrics).allSatisfy(metric -> assertThat(page).contains("`" + metric + "`"));
    Set<String> messages = found(MESSAGE, "node", "relay", "platform");
    messages.removeAll(BUILD_ONLY);
    assertThat(messages).hasSizeGreaterThan(15);
    assertThat(messages).allSatisfy(message -> assertThat(page).contains("`" + message + "`"));
  }

  @Test
  void namesEverySetting() throws IOException {
    String page = Files.readString(PAGE);
    Path source = Path.of("src/main/java/org/heatherspread/node/settings/NodeSettings.java");
    Matcher matcher = SETTING.matcher(Files.readString(source));
    List<String> names = new java.util.ArrayList<>();
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    assertThat(names).hasSizeGreaterThan(15);
    assertThat(names).allSatisfy(name -> assertThat(page).contains("." + name + "`"));
  }
}
