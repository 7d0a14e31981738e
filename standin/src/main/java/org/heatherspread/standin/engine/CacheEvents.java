package org.heatherspread.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * The cache events that an engine publishes: late, with gaps, and only the latest.
 *
 * <p>Not safe for use by several threads.
 */
final class CacheEvents {
  private static final int KEPT = 4_096;

  private final int delayMillis;
  private final double gap;
  private final RandomGenerator random;
  private final Deque<Stored> events = new ArrayDeque<>();
  private long last;

  CacheEvents(int delayMillis, double gap, RandomGenerator random) {
    this.delayMillis = delayMillis;
    this.gap = gap;
    this.random = random;
  }

  /** What happened to the blocks. */
  enum Kind {
    STORED,
    EVICTED,
    CLEARED
  }

  /** An event as published. */
  record View(long seq, String kind, List<String> hashes) {}

  private record Stored(View view, long visibleAtMillis) {}

  void add(Kind kind, List<Long> hashes) {
    last++;
    if (random.nextDouble() < gap) {
      return;
    }
    List<String> hex = new ArrayList<>(hashes.size());
    for (long hash : hashes) {
      hex.add(HexFormat.of().toHexDigits(hash));
    }
    View view = new View(last, kind.name().toLowerCase(Locale.ROOT), hex);
    events.add(new Stored(view, System.currentTimeMillis() + delayMillis));
    if (events.size() > KEPT) {
      events.remove();
    }
  }

  /** Returns the visible events after a sequence number, oldest first. */
  List<View> after(long seq) {
    long now = System.currentTimeMillis();
    List<View> found = new ArrayList<>();
    for (Stored event : events) {
      if (event.visibleAtMillis() > now) {
        break;
      }
      if (event.view().seq() > seq) {
        found.add(event.view());
      }
    }
    return found;
  }
}
