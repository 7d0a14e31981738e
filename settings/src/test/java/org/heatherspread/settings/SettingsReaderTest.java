package org.heatherspread.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  @Test
  void readsTypedValuesAndDefaults() {
    SettingsReader reader =
        SettingsReader.parse(
            "a.toml", "[daemon]\nid = \"d1\"\nport = 80\n[limits]\nwait = \"250ms\"\n");
    Section daemon = reader.section("daemon");
    assertThat(daemon.text("id")).isEqualTo("d1");
    assertThat(daemon.integer("port", 1, 1, 65_535)).isEqualTo(80);
    Section limits = reader.section("limits");
    assertThat(limits.duration("wait", Duration.ZERO, Duration.ZERO, Duration.ofSeconds(1)))
        .isEqualTo(Duration.ofMillis(250));
    assertThat(limits.list("names", List.of("x"))).containsExactly("x");
    reader.validate();
  }

  @Test
  void reportsAllProblemsAtOnceWithFileAndLine() {
    SettingsReader reader =
        SettingsReader.parse(
            "a.toml", "[daemon]\nport = 99999\nhots = \"127.0.0.1\"\nwait = \"4 s\"\n");
    Section daemon = reader.section("daemon");
    daemon.text("id");
    daemon.integer("port", 1, 1, 65_535);
    daemon.text("host", "127.0.0.1");
    daemon.duration("wait", Duration.ZERO, Duration.ZERO, Duration.ofSeconds(1));
    assertThatThrownBy(reader::validate)
        .isInstanceOfSatisfying(
            SettingsException.class,
            e ->
                assertThat(e.problems())
                    .extracting(SettingsProblem::toString)
                    .containsExactly(
                        "a.toml:1: daemon.id: missing; a text is required",
                        "a.toml:2: daemon.port: must be from 1 to 65535, but is 99999",
                        "a.toml:3: daemon.hots: unknown key; did you mean daemon.host?",
                        "a.toml:4: daemon.wait: \"4 s\" is not an interval; write a number and"
                            + " ms, s, m or h, such as \"4s\""));
  }

  @Test
  void reportsSyntaxErrorWithLine() {
    SettingsReader reader = SettingsReader.parse("a.toml", "[daemon]\nid = \n");
    assertThatThrownBy(reader::validate).hasMessageContaining("a.toml:2: not TOML");
  }

  @Test
  void reportsUnknownTable() {
    SettingsReader reader = SettingsReader.parse("a.toml", "[demon]\nid = \"x\"\n");
    reader.section("daemon").text("id", "y");
    assertThatThrownBy(reader::validate).hasMessageContaining("a.toml:1: demon: unknown key");
  }
}
