package org.heatherspread.core.poison;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which suspects were last processed without a crash. Keeps a limited number of each kind,
 * those with the latest successes, so that many different requests do not displace the segments.
 * Confined to one thread.
 */
final class RecentSuccesses {
  private static final int MAX_SUSPECTS_OF_KIND = 4_096;

  private final Map<Suspect.Kind, Map<Suspect, Long>> millisByKind =
      new EnumMap<>(Suspect.Kind.class);

  void record(Suspect suspect, long nowMillis) {
    millisByKind.computeIfAbsent(suspect.kind(), kind -> newLimitedMap()).put(suspect, nowMillis);
  }

  /** Returns the time of the last success of a suspect, the default if none is known. */
  long lastMillis(Suspect suspect, long defaultMillis) {
    return millisByKind.getOrDefault(suspect.kind(), Map.of()).getOrDefault(suspect, defaultMillis);
  }

  private static Map<Suspect, Long> newLimitedMap() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Suspect, Long> eldest) {
        return size() > MAX_SUSPECTS_OF_KIND;
      }
    };
  }
}
