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
final class DetachedSessions {
  private final MonotonicClock clock;
  private final long resumeWindowNanos;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  DetachedSessions(MonotonicClock clock, Duration resumeWindow) {
    this.clock = clock;
    this.resumeWindowNanos = resumeWindow.toNanos();
  }

  private record Entry(ChatSession session, long expiresAtNanos) {}

  /** Keeps a request for the window. */
  void add(ChatSession session) {
    entries.put(session.requestId(), new Entry(session, clock.nanos() + resumeWindowNanos));
  }

  /** Forgets a request that was resumed or ended. */
  void remove(String requestId) {
    entries.remove(requestId);
  }

  /** Removes and returns the requests whose window is over. */
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
