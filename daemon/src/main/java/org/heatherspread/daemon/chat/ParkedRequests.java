package org.heatherspread.daemon.chat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Requests whose caller stopped reading. Their engines go on, so that the caller can resume, until
 * the window is over.
 *
 * <p>Safe for use by any thread.
 */
final class ParkedRequests {
  private final MonotonicClock clock;
  private final long windowNanos;
  private final Map<String, Parked> parked = new ConcurrentHashMap<>();

  ParkedRequests(MonotonicClock clock, Duration window) {
    this.clock = clock;
    this.windowNanos = window.toNanos();
  }

  private record Parked(ChatSession session, long until) {}

  /** Keeps a request for the window. */
  void add(ChatSession session) {
    parked.put(session.requestId(), new Parked(session, clock.nanos() + windowNanos));
  }

  /** Forgets a request that was resumed or ended. */
  void remove(String requestId) {
    parked.remove(requestId);
  }

  /** Removes and returns the requests whose window is over. */
  List<ChatSession> expired() {
    List<ChatSession> over = new ArrayList<>();
    long now = clock.nanos();
    for (Parked entry : parked.values()) {
      if (now >= entry.until() && parked.remove(entry.session().requestId(), entry)) {
        over.add(entry.session());
      }
    }
    return over;
  }
}
