package org.heatherspread.node.control;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.store.RowKey;

/** Rows of the states of moves, between the daemon reports that all daemons read. Stateless. */
final class RolloutFormat {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Keys of reports contain a slash after the name of the daemon. */
  private static final String PREFIX = "rollout:";

  private RolloutFormat() {}

  static RowKey key(String service) {
    return new RowKey(ReportWriter.TABLE, PREFIX + service);
  }

  static boolean isState(String key) {
    return key.startsWith(PREFIX);
  }

  static String write(RolloutState state) {
    try {
      return MAPPER.writeValueAsString(state);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the state of a row's body, empty if it is not readable. */
  static Optional<RolloutState> read(String body) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, RolloutState.class));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Returns the state of a row as the store returns it, empty if it is not readable. */
  static Optional<RolloutState> readRow(byte[] value) {
    try {
      JsonNode body = MAPPER.readTree(value).path("body");
      return body.isTextual() ? read(body.textValue()) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
