package org.heatherspread.daemon.chat;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Schedules the moves of streams off leaving endpoints. Streams with the longest contexts move
 * first, because they are the most expensive to recompute. Moves are spaced by an interval to avoid
 * overloading the remaining engines.
 *
 * <p>Not thread-safe: called only by the periodic tick of the daemon.
 */
final class StreamMigrationScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Supplier<MembershipSnapshot> membership;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final long moveIntervalNanos;
  private long lastVersion = -1;

  StreamMigrationScheduler(
      Supplier<MembershipSnapshot> membership,
      MonotonicClock clock,
      InstantSource wallClock,
      ChatSettings settings) {
    this.membership = membership;
    this.clock = clock;
    this.wallClock = wallClock;
    this.moveIntervalNanos = settings.moveInterval().toNanos();
  }

  /** Notifies the sessions of leaving and dead endpoints after a change of the membership. */
  void scheduleMoves(Collection<ChatSession> sessions) {
    MembershipSnapshot latest = membership.get();
    if (latest.version() == lastVersion) {
      return;
    }
    lastVersion = latest.version();
    for (Member member : latest.members().values()) {
      boolean leavingOrDead = member.health() == Health.LEAVING || member.health() == Health.DEAD;
      if (leavingOrDead && member.instance().kind() != InstanceKind.DAEMON) {
        moveStreams(member, sessions);
      }
    }
  }

  private void moveStreams(Member member, Collection<ChatSession> sessions) {
    String id = member.instance().id();
    List<ChatSession> affectedSessions = new ArrayList<>();
    for (ChatSession session : sessions) {
      if (id.equals(session.endpoint())) {
        affectedSessions.add(session);
      }
    }
    affectedSessions.sort(Comparator.comparingLong(ChatSession::contextTokens).reversed());
    long now = clock.nanos();
    long endsAtNanos = member.health() == Health.DEAD ? now : noticeEndNanos(member, now);
    long moveAtNanos = now;
    for (ChatSession session : affectedSessions) {
      session.onEndpointLeaving(id, moveAtNanos, endsAtNanos);
      moveAtNanos += moveIntervalNanos;
    }
  }

  private long noticeEndNanos(Member member, long now) {
    long millis = member.instance().leavingAtMillis().map(at -> at - wallClock.millis()).orElse(0L);
    return now + millis * NANOS_PER_MILLI;
  }
}
