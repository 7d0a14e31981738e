package org.heatherspread.relay.call;

import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.placement.PromptSegment;
import org.heatherspread.core.placement.Workload;

/** Parses the request headers about the prompt. Invalid headers are treated as absent. */
final class PromptHeaderParser {
  private static final int HEX_RADIX = 16;

  private PromptHeaderParser() {}

  /** Returns the prompt and answer tokens of a header such as {@code "1460,80"}, or null. */
  static int[] parseTokenCounts(String header) {
    if (header == null) {
      return null;
    }
    int comma = header.indexOf(',');
    if (comma < 0) {
      return null;
    }
    try {
      int prompt = Integer.parseInt(header.substring(0, comma).trim());
      int answer = Integer.parseInt(header.substring(comma + 1).trim());
      return prompt < 0 || answer < 0 ? null : new int[] {prompt, answer};
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** Returns the workload declared by the two headers. */
  static Workload parseWorkload(String tokenCounts, String promptSegments) {
    int[] tokens = parseTokenCounts(tokenCounts);
    if (tokens == null) {
      return Workload.NONE;
    }
    return new Workload(parseSegments(promptSegments), tokens[0], tokens[1]);
  }

  private static List<PromptSegment> parseSegments(String header) {
    List<PromptSegment> segments = new ArrayList<>();
    if (header == null) {
      return segments;
    }
    for (String entry : header.split(",")) {
      int colon = entry.indexOf(':');
      if (colon < 0) {
        return List.of();
      }
      try {
        long id = Long.parseUnsignedLong(entry.substring(0, colon).trim(), HEX_RADIX);
        segments.add(new PromptSegment(id, Integer.parseInt(entry.substring(colon + 1).trim())));
      } catch (NumberFormatException e) {
        return List.of();
      }
    }
    return segments;
  }
}
