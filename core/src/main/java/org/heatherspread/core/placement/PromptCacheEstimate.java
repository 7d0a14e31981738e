package org.heatherspread.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that an endpoint is believed to keep, least recently used first. Bounded by
 * the endpoint's own memory, so that both forget at about the same time. Confined to one thread.
 */
final class PromptCacheEstimate {
  private static final int MAX_PARTS = 4_096;

  private final long capacityTokens;
  private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  private PromptCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  static PromptCacheEstimate create(long capacityTokens) {
    return new PromptCacheEstimate(capacityTokens);
  }

  /** Returns the tokens at the start of a prompt that need no prefill. */
  int cachedTokens(List<PromptSegment> prompt) {
    int cached = 0;
    for (PromptSegment part : prompt) {
      if (!parts.containsKey(part.id())) {
        break;
      }
      cached += part.tokens();
    }
    return cached;
  }

  void recordUse(List<PromptSegment> prompt) {
    for (PromptSegment part : prompt) {
      Integer before = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (before == null ? 0 : before);
    }
    var oldest = parts.entrySet().iterator();
    while ((tokens > capacityTokens || parts.size() > MAX_PARTS) && oldest.hasNext()) {
      Map.Entry<Long, Integer> entry = oldest.next();
      tokens -= entry.getValue();
      oldest.remove();
    }
  }
}
