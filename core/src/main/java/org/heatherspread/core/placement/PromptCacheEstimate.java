package org.heatherspread.core.placement;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates which prompt segments an endpoint has cached, in the order of their last use. The
 * estimate has the capacity of the endpoint's own cache, so that both evict a segment at about the
 * same time. Confined to one thread.
 */
final class PromptCacheEstimate {
  private static final int MAX_SEGMENTS = 4_096;

  /** Maximum number of prefixes kept for other daemons, which learn of others by their own use. */
  private static final int MAX_NEW_PREFIXES = 32;

  private final long capacityTokens;
  private final LinkedHashMap<Long, Integer> tokensBySegment = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<List<PromptSegment>> newPrefixes = new LinkedHashSet<>();
  private long tokens;

  private PromptCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  static PromptCacheEstimate create(long capacityTokens) {
    return new PromptCacheEstimate(capacityTokens);
  }

  /** Returns the number of leading prompt tokens that need no prefill. */
  int cachedTokens(List<PromptSegment> prompt) {
    int cached = 0;
    for (PromptSegment segment : prompt) {
      if (!tokensBySegment.containsKey(segment.id())) {
        break;
      }
      cached += segment.tokens();
    }
    return cached;
  }

  /**
   * Records a request of this daemon, which caches its prompt.
   *
   * @param prefix leading segments of the prompt that other requests may share
   */
  void recordRequest(List<PromptSegment> prompt, List<PromptSegment> prefix) {
    boolean cached = prefix.stream().allMatch(part -> tokensBySegment.containsKey(part.id()));
    if (!cached && newPrefixes.size() < MAX_NEW_PREFIXES) {
      newPrefixes.add(prefix);
    }
    recordUse(prompt);
  }

  /** Returns the shared prefixes that requests of this daemon have added since the last call. */
  List<List<PromptSegment>> takeNewPrefixes() {
    List<List<PromptSegment>> taken = List.copyOf(newPrefixes);
    newPrefixes.clear();
    return taken;
  }

  /** Records that the endpoint has used segments, for whichever daemon. */
  void recordUse(List<PromptSegment> prompt) {
    for (PromptSegment segment : prompt) {
      Integer previousTokens = tokensBySegment.put(segment.id(), segment.tokens());
      tokens += segment.tokens() - (previousTokens == null ? 0 : previousTokens);
    }
    var leastRecent = tokensBySegment.entrySet().iterator();
    while ((tokens > capacityTokens || tokensBySegment.size() > MAX_SEGMENTS)
        && leastRecent.hasNext()) {
      Map.Entry<Long, Integer> entry = leastRecent.next();
      tokens -= entry.getValue();
      leastRecent.remove();
    }
  }
}
