package org.heatherspread.cli;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.settings.Section;
import org.heatherspread.settings.SettingsException;
import org.heatherspread.settings.SettingsReader;

/**
 * Settings of the command-line tool: the daemons to call and the operator's key. Immutable.
 *
 * @param daemons base URLs of the daemons, tried in order
 * @param key the operator's API key; empty if none is set
 * @param timeout time limit for connecting, and for each call to a daemon
 */
public record CliSettings(List<URI> daemons, String key, Duration timeout) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

  /** Copies the list, so that the record is immutable. */
  public CliSettings {
    daemons = List.copyOf(daemons);
  }

  /** Returns the settings that apply without a settings file. */
  public static CliSettings defaults() {
    return new CliSettings(List.of(URI.create("http://127.0.0.1:8080")), "", DEFAULT_TIMEOUT);
  }

  /** Loads a settings file; fails with a {@link SettingsException} that lists all problems. */
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
  public CliSettings withDaemons(List<URI> newDaemons) {
    return new CliSettings(newDaemons, key, timeout);
  }

  /** Returns a copy with another key. */
  public CliSettings withKey(String newKey) {
    return new CliSettings(daemons, newKey, timeout);
  }
}
