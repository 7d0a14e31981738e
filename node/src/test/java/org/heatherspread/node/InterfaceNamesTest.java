package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Fails when a name that other processes, stored data, settings or metrics depend on is gone from
 * the sources, as when a rename takes the outer name along. {@code docs/interface-names.txt} lists
 * the names: a {@code text} must occur as a whole string literal, a {@code word} as an identifier
 * of the Java sources or a word of the message, script and settings files.
 */
class InterfaceNamesTest {
  private static final Path ROOT = Path.of("..");
  private static final Path NAMES = ROOT.resolve(Path.of("docs", "interface-names.txt"));
  private static final Pattern LITERAL_OR_COMMENT =
      Pattern.compile(
          "(\"(?:\\\\.|[^\"\\\\\n])*+\")|'(?:\\\\.|[^'\\\\\n])'|/\\*.*?\\*/|//[^\n]*",
          Pattern.DOTALL);
  private static final Pattern IDENTIFIER = Pattern.compile("\\w+");
  private static final Pattern WORD = Pattern.compile("[\\w-]+(?:\\.[\\w-]+)*");

  private static final Set<String> texts = new HashSet<>();
  private static final Set<String> words = new HashSet<>();

  @BeforeAll
  static void readSources() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path module : modules.filter(path -> Files.isDirectory(path.resolve("src"))).toList()) {
        readFolder(module.resolve(Path.of("src", "main")));
      }
    }
    readFolder(ROOT.resolve("bin"));
    readFolder(ROOT.resolve("deploy"));
  }

  private static void readFolder(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        String name = file.toString();
        if (name.endsWith(".java") && !name.contains("generated")) {
          readJava(Files.readString(file));
        } else if (name.matches(".*\\.(proto|toml)|\\.\\./bin/.*")) {
          addAll(WORD, Files.readString(file));
        }
      }
    }
  }

  private static void readJava(String source) {
    StringBuilder rest = new StringBuilder();
    Matcher matcher = LITERAL_OR_COMMENT.matcher(source);
    while (matcher.find()) {
      String literal = matcher.group(1);
      if (literal != null) {
        texts.add(literal.substring(1, literal.length() - 1));
      }
      matcher.appendReplacement(rest, " ");
    }
    matcher.appendTail(rest);
    addAll(IDENTIFIER, rest.toString());
  }

  private static void addAll(Pattern pattern, String text) {
    pattern.matcher(text).results().forEach(word -> words.add(word.group()));
  }

  @Test
  void everyInterfaceNameOccursInTheSources() throws IOException {
    List<String> lines = Files.readAllLines(NAMES);
    assertThat(lines).hasSizeGreaterThan(1_000);
    List<String> missing = new ArrayList<>();
    for (String line : lines) {
      String[] fields = line.split("\t");
      assertThat(fields).as(line).hasSize(2);
      if (!(fields[1].equals("text") ? texts : words).contains(fields[0])) {
        missing.add(line);
      }
    }
    assertThat(missing).isEmpty();
  }
}
