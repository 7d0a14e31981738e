package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

/** Tests the lines that the log of a daemon consists of. */
class JsonLineEncoderTest {
  private enum Color {
    RED
  }

  private final Logger logger =
      new LoggerContext().getLogger("org.heatherspread.node.control.TableWatcher");
  private final JsonLineEncoder encoder = new JsonLineEncoder(24);

  private LoggingEvent event(String message, Throwable failure, KeyValuePair... pairs) {
    LoggingEvent event =
        new LoggingEvent(
            JsonLineEncoderTest.class.getName(), logger, Level.WARN, message, failure, null);
    event.setInstant(Instant.parse("2026-01-02T03:04:05.678Z"));
    event.setKeyValuePairs(new ArrayList<>(List.of(pairs)));
    return event;
  }

  private String encode(LoggingEvent event) {
    return new String(encoder.encode(event), StandardCharsets.UTF_8);
  }

  @Test
  void lineHasTheFieldsOfTheEventInOrder() {
    String line =
        encode(
            event(
                "store cannot be read",
                null,
                new KeyValuePair("table", "op"),
                new KeyValuePair("rows", 3),
                new KeyValuePair("bytes", 1L << 40),
                new KeyValuePair("tokens", 1.5),
                new KeyValuePair("written", true),
                new KeyValuePair("reason", null)));
    assertThat(line)
        .isEqualTo(
            "{\"time\":\"2026-01-02T03:04:05.678Z\",\"message\":\"store cannot be read\","
                + "\"logger\":\"o.h.n.c.TableWatcher\",\"level\":\"WARN\","
                + "\"table\":\"op\",\"rows\":3,"
                + "\"bytes\":1099511627776,\"tokens\":1.5,\"written\":true,\"reason\":null}\n");
  }

  /** Line breaks and quotes in a value must not end the line or the value. */
  @Test
  void controlCharactersAreEscaped() throws Exception {
    String line =
        encode(event("a \"quoted\"\nmessage", null, new KeyValuePair("value", "\u0000\r\n")));
    assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
    JsonNode node = new ObjectMapper().readTree(line);
    assertThat(node.get("message").textValue()).isEqualTo("a \"quoted\"\nmessage");
    assertThat(node.get("value").textValue()).isEqualTo("\u0000\r\n");
  }

  @Test
  void otherValuesAreMapped() throws Exception {
    JsonNode node =
        new ObjectMapper()
            .readTree(
                encode(
                    event(
                        "m",
                        null,
                        new KeyValuePair("color", Color.RED),
                        new KeyValuePair("list", List.of("a", "b")),
                        new KeyValuePair("number", Double.NaN))));
    assertThat(node.get("color").textValue()).isEqualTo("RED");
    assertThat(node.get("list")).hasSize(2);
    assertThat(node.get("number").textValue()).isEqualTo("NaN");
  }

  @Test
  void stackTraceNamesTheFailureAndItsCause() throws Exception {
    Exception failure = new IllegalStateException("outer", new IllegalArgumentException("inner"));
    JsonNode node = new ObjectMapper().readTree(encode(event("m", failure)));
    assertThat(node.get("stack_trace").textValue())
        .contains("IllegalStateException: outer", "Caused by", "IllegalArgumentException: inner");
  }
}
