package org.heatherspread.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Holds the cache events that an engine publishes. Events become visible after a delay, are lost
 * with a given probability, and only the latest are kept. A lost event leaves a gap in the sequence
 * numbers.
 *
 * <p>Not thread-safe.
 */
final class CacheEventLog {
  private static final int MAX_EVENTS = 4_096;

  private final int delayMillis;
  private final double lossProbability;
  private final RandomGenerator random;
  private final Deque<TimedEvent> events = new ArrayDeque<>();
  private long lastSequence;

  CacheEventLog(int delayMillis, double lossProbability, RandomGenerator random) {
    this.delayMillis = delayMillis;
    this.lossProbability = lossProbability;
    this.random = random;
  }

  /** A change of the prefix cache. */
  enum Kind {
    STORED,
    EVICTED,
    CLEARED
  }

  /** A published event. Immutable. */
  record Event(long seq, String kind, List<String> hashes) {}

  private record TimedEvent(Event event, long visibleAtMillis) {}

  void add(Kind kind, List<Long> hashes) {
    lastSequence++;
    if (random.nextDouble() < lossProbability) {
      return;
    }
    List<String> hex = new ArrayList<>(hashes.size());
    for (long hash : hashes) {
      hex.add(HexFormat.of().toHexDigits(hash));
    }
    Event event = new Event(lastSequence, kind.name().toLowerCase(Locale.ROOT), hex);
    events.add(new TimedEvent(event, System.currentTimeMillis() + delayMillis));
    if (events.size() > MAX_EVENTS) {
      events.remove();
    }
  }

  /** Returns the visible events with a higher sequence number, oldest first. */
  List<Event> eventsAfter(long sequence) {
    long now = System.currentTimeMillis();
    List<Event> visible = new ArrayList<>();
    for (TimedEvent timed : events) {
      if (timed.visibleAtMillis() > now) {
        break;
      }
      if (timed.event().seq() > sequence) {
        visible.add(timed.event());
      }
    }
    return visible;
  }
}
