package org.heatherspread.daemon.routing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.LoadedModels;

/**
 * Parses the load reports, cache events and model lists of engines, as specified in section 2 of
 * {@code docs/INTERFACES.md}. Stateless and thread-safe.
 */
final class EngineTelemetryParser {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Consecutive cache events of one incarnation of an engine. Immutable. */
  record CacheEvents(long incarnation, List<CacheEvent> events) {}

  private EngineTelemetryParser() {}

  /**
   * Parses a load report. Missing values and values that are malformed, negative or not finite
   * count as zero; a missing report time counts as now.
   *
   * @param text metrics of the engine in the text format of Prometheus
   * @param nowMillis current time of the monotonic clock
   * @param wallMillis current time since the epoch; a report that is dated later counts as measured
   *     now
   */
  static LoadReport parseLoadReport(String text, long nowMillis, long wallMillis) {
    double running = 0;
    double waiting = 0;
    double waitingPromptTokens = 0;
    double cacheUsed = 0;
    double decodeRate = 0;
    double prefillRate = 0;
    double reportedAtMillis = wallMillis;
    for (String line : text.split("\n")) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith("#") || space < 0) {
        continue;
      }
      double value = parseValue(line.substring(space + 1));
      switch (metricName(line.substring(0, space))) {
        case "engine_running_requests" -> running = value;
        case "engine_waiting_requests" -> waiting = value;
        case "engine_waiting_prompt_tokens" -> waitingPromptTokens = value;
        case "engine_kv_used_ratio" -> cacheUsed = value;
        case "engine_decode_tokens_per_second" -> decodeRate = value;
        case "engine_prefill_tokens_per_second" -> prefillRate = value;
        case "engine_report_time_ms" -> reportedAtMillis = value;
        default -> {}
      }
    }
    long ageMillis = Math.max(0, wallMillis - (long) reportedAtMillis);
    return new LoadReport(
        nowMillis - ageMillis,
        (int) running,
        (int) waiting,
        (long) waitingPromptTokens,
        cacheUsed,
        decodeRate,
        prefillRate);
  }

  private static String metricName(String series) {
    int brace = series.indexOf('{');
    return brace < 0 ? series : series.substring(0, brace);
  }

  private static double parseValue(String text) {
    try {
      double value = Double.parseDouble(text.trim());
      return Double.isFinite(value) && value >= 0 ? value : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Parses cache events and skips those of unknown kinds.
   *
   * @throws IOException if the text is not valid JSON or a hash is not a hexadecimal number
   */
  static CacheEvents parseCacheEvents(String text) throws IOException {
    JsonNode root = MAPPER.readTree(text);
    List<CacheEvent> events = new ArrayList<>();
    for (JsonNode node : root.path("events")) {
      CacheEvent.Kind kind = parseKind(node.path("kind").asText());
      if (kind != null) {
        events.add(
            new CacheEvent(node.path("seq").asLong(), kind, parseHashes(node.path("hashes"))));
      }
    }
    return new CacheEvents(root.path("incarnation").asLong(), events);
  }

  private static CacheEvent.Kind parseKind(String name) {
    return switch (name) {
      case "stored" -> CacheEvent.Kind.STORED;
      case "evicted" -> CacheEvent.Kind.EVICTED;
      case "cleared" -> CacheEvent.Kind.CLEARED;
      default -> null;
    };
  }

  private static long[] parseHashes(JsonNode list) throws IOException {
    long[] hashes = new long[list.size()];
    for (int i = 0; i < hashes.length; i++) {
      try {
        hashes[i] = Long.parseUnsignedLong(list.get(i).asText(), 16);
      } catch (NumberFormatException e) {
        throw new IOException("cache event has a hash that is not a hexadecimal number", e);
      }
    }
    return hashes;
  }

  /**
   * Parses the versions and adapters of a service that an engine has loaded.
   *
   * @throws IOException if the text is not valid JSON
   */
  static LoadedModels parseLoadedModels(String text, String service) throws IOException {
    Set<String> versions = new HashSet<>();
    Set<String> adapters = new HashSet<>();
    for (JsonNode model : MAPPER.readTree(text).path("models")) {
      if (!model.path("service").asText().equals(service)) {
        continue;
      }
      versions.add(model.path("version").asText());
      model.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
    }
    return LoadedModels.of(versions, adapters);
  }
}
