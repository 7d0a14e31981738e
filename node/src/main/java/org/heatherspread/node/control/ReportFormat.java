package org.heatherspread.node.control;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.heatherspread.core.fleet.DaemonReport;

/** The form in which daemons' reports lie in the store. Safe for use by any thread. */
final class ReportFormat {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private ReportFormat() {}

  static byte[] write(DaemonReport report) {
    try {
      return MAPPER.writeValueAsBytes(report);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns empty for a row that holds no report. */
  static Optional<DaemonReport> read(byte[] bytes) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, DaemonReport.class));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
