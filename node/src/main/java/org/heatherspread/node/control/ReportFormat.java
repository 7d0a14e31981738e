package org.heatherspread.node.control;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.EndpointLoad;

/** JSON format of the daemon reports in the store; ignores unknown fields. Thread-safe. */
final class ReportFormat {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .addMixIn(EndpointLoad.class, ReportedLoad.class);

  private ReportFormat() {}

  /**
   * Recent responses and demand are out of date by the time of a report, and are exchanged more
   * often.
   */
  @JsonIgnoreProperties({"outcomes", "demand", "heldTokens"})
  private interface ReportedLoad {}

  static byte[] write(DaemonReport report) {
    try {
      return MAPPER.writeValueAsBytes(report);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the report, or empty if the row holds none. */
  static Optional<DaemonReport> read(byte[] bytes) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, DaemonReport.class));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
