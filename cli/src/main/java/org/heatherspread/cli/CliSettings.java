package org.heatherspread.cli;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.settings.Section;
import org.heatherspread.settings.SettingsReader;

/**
 * Where the daemons are and who asks. Immutable.
 *
 * @param daemons base URLs, tried in order
 * @param key the operator's key
 * @param timeout how long a call may take
 */
public record CliSettings(List<URI> daemons, String key, Duration timeout) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

  /** Copies the list, so that the record stays immutable. */
  public CliSettings {
    daemons = List.copyOf(daemons);
  }

  /** Returns the settings of a tool without a file. */
  public static CliSettings defaults() {
    return new CliSettings(List.of(URI.create("http://127.0.0.1:8080")), "", DEFAULT_TIMEOUT);
  }

  /** Reads a file; fails with a SettingsException that tells every fault. */
  public static CliSettings load(Path file) {
    SettingsReader reader = SettingsReader.load(file);
    Section section = reader.section("cli");
    List<URI> daemons = new ArrayList<>();
    for (String url : section.list("daemons", List.of("http://127.0.0.1:8080"))) {
      daemons.add(URI.create(url));
    }
    String key = section.text("key", "");
    Duration timeout =
        section.duration("timeout", DEFAULT_TIMEOUT, Duration.ofMillis(100), Duration.ofMinutes(5));
    reader.validate();
    return new CliSettings(daemons, key, timeout);
  }

  /** Returns a copy with other daemons. */
  public CliSettings withDaemons(List<URI> others) {
    return new CliSettings(others, key, timeout);
  }

  /** Returns a copy with another key. */
  public CliSettings withKey(String other) {
    return new CliSettings(daemons, other, timeout);
  }
}
