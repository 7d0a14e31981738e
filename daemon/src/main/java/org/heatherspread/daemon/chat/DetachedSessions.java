package org.heatherspread.daemon.chat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Sessions that were detached because their callers stopped reading. Their attempts keep running
 * until the resume window ends, so that the callers can resume.
 *
 * <p>Thread-safe.
 */
final class DetachedSessions {
  private final MonotonicClock clock;
  private final long resumeWindowNanos;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  DetachedSessions(MonotonicClock clock, Duration resumeWindow) {
    this.clock = clock;
    this.resumeWindowNanos = resumeWindow.toNanos();
  }

  private record Entry(ChatSession session, long expiresAtNanos) {}

  /** Adds a session for the resume window. */
  void add(ChatSession session) {
    entries.put(session.requestId(), new Entry(session, clock.nanos() + resumeWindowNanos));
  }

  /** Removes a request that was resumed or has ended. */
  void remove(String requestId) {
    entries.remove(requestId);
  }

  /** Removes and returns the sessions whose resume window has ended. */
  List<ChatSession> removeExpired() {
    List<ChatSession> expired = new ArrayList<>();
    long now = clock.nanos();
    for (Entry entry : entries.values()) {
      if (now >= entry.expiresAtNanos() && entries.remove(entry.session().requestId(), entry)) {
        expired.add(entry.session());
      }
    }
    return expired;
  }
}
