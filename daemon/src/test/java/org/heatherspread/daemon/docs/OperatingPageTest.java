package org.heatherspread.daemon.docs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.daemon.settings.DaemonSettingsFile;
import org.junit.jupiter.api.Test;

/** Checks that the operators' page documents every setting, metric and error kind. */
class OperatingPageTest {
  private static final Pattern METER_NAME = Pattern.compile("\"(heatherspread\\.[a-z0-9._]+)\"");

  @Test
  void documentsEverySetting() throws IOException {
    String page = page();
    for (String key : DaemonSettingsFile.keyDescriptions().keySet()) {
      assertThat(page).as("setting " + key).contains("| `" + key + "` |");
    }
  }

  @Test
  void documentsEveryErrorKind() throws IOException {
    String page = page();
    for (ErrorKind kind : ErrorKind.values()) {
      assertThat(page).as("error kind").contains("| `" + kind.code() + "` | " + kind.status());
    }
  }

  @Test
  void documentsEveryMetric() throws IOException {
    String page = page();
    Set<String> meterNames = meterNames();
    assertThat(meterNames).isNotEmpty();
    for (String meter : meterNames) {
      assertThat(page).as("metric").contains("| `" + meter + "` |");
    }
  }

  private static Set<String> meterNames() throws IOException {
    Set<String> names = new TreeSet<>();
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        Matcher matcher = METER_NAME.matcher(Files.readString(file));
        while (matcher.find()) {
          names.add(matcher.group(1));
        }
      }
    }
    return names;
  }

  private static String page() throws IOException {
    return Files.readString(Path.of("../docs/OPERATING.md"));
  }
}
