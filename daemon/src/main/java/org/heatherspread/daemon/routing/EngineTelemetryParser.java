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
 * Reads what engines tell of themselves; section 2 of {@code docs/INTERFACES.md}. Stateless; safe
 * for use by any thread.
 */
final class EngineTelemetryParser {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** A batch of cache events. Immutable. */
  record CacheEvents(long incarnation, List<CacheEvent> events) {}

  private EngineTelemetryParser() {}

  /**
   * Reads a load report.
   *
   * @param text the engine's metrics
   * @param nowMillis reading of the monotonic clock
   * @param wallMillis time now; a report from the future counts as measured now
   */
  static LoadReport parseLoadReport(String text, long nowMillis, long wallMillis) {
    double running = 0;
    double waiting = 0;
    double prompt = 0;
    double used = 0;
    double decode = 0;
    double prefill = 0;
    double time = wallMillis;
    for (String line : text.split("\n")) {
      int space = line.lastIndexOf(' ');
      if (line.startsWith("#") || space < 0) {
        continue;
      }
      double value = number(line.substring(space + 1));
      switch (name(line.substring(0, space))) {
        case "engine_running_requests" -> running = value;
        case "engine_waiting_requests" -> waiting = value;
        case "engine_waiting_prompt_tokens" -> prompt = value;
        case "engine_kv_used_ratio" -> used = value;
        case "engine_decode_tokens_per_second" -> decode = value;
        case "engine_prefill_tokens_per_second" -> prefill = value;
        case "engine_report_time_ms" -> time = value;
        default -> {}
      }
    }
    long age = Math.max(0, wallMillis - (long) time);
    return new LoadReport(
        nowMillis - age, (int) running, (int) waiting, (long) prompt, used, decode, prefill);
  }

  private static String name(String head) {
    int brace = head.indexOf('{');
    return brace < 0 ? head : head.substring(0, brace);
  }

  private static double number(String text) {
    try {
      double value = Double.parseDouble(text.trim());
      return Double.isFinite(value) && value >= 0 ? value : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Reads cache events. */
  static CacheEvents parseCacheEvents(String text) throws IOException {
    JsonNode root = MAPPER.readTree(text);
    List<CacheEvent> events = new ArrayList<>();
    for (JsonNode node : root.path("events")) {
      CacheEvent.Kind kind = kind(node.path("kind").asText());
      if (kind != null) {
        events.add(new CacheEvent(node.path("seq").asLong(), kind, hashes(node.path("hashes"))));
      }
    }
    return new CacheEvents(root.path("incarnation").asLong(), events);
  }

  private static CacheEvent.Kind kind(String name) {
    return switch (name) {
      case "stored" -> CacheEvent.Kind.STORED;
      case "evicted" -> CacheEvent.Kind.EVICTED;
      case "cleared" -> CacheEvent.Kind.CLEARED;
      default -> null;
    };
  }

  private static long[] hashes(JsonNode list) throws IOException {
    long[] hashes = new long[list.size()];
    for (int i = 0; i < hashes.length; i++) {
      try {
        hashes[i] = Long.parseUnsignedLong(list.get(i).asText(), 16);
      } catch (NumberFormatException e) {
        throw new IOException("hash is no hexadecimal number", e);
      }
    }
    return hashes;
  }

  /** Reads which versions and adapters of a service an engine has loaded. */
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
