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
 * Moves the streams of endpoints under notice: the longest contexts first, since they cost most to
 * compute again, and a little apart, so that the engines that stay are not flooded.
 *
 * <p>Confined to the daemon's ticker.
 */
final class LeavingEndpoints {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Supplier<MembershipSnapshot> membership;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final long intervalNanos;
  private long seenVersion = -1;

  LeavingEndpoints(
      Supplier<MembershipSnapshot> membership,
      MonotonicClock clock,
      InstantSource wallClock,
      ChatSettings settings) {
    this.membership = membership;
    this.clock = clock;
    this.wallClock = wallClock;
    this.intervalNanos = settings.moveInterval().toNanos();
  }

  /** Tells the sessions of endpoints that newly left or are leaving. */
  void check(Collection<ChatSession> sessions) {
    MembershipSnapshot latest = membership.get();
    if (latest.version() == seenVersion) {
      return;
    }
    seenVersion = latest.version();
    for (Member member : latest.members().values()) {
      boolean gone = member.health() == Health.LEAVING || member.health() == Health.DEAD;
      if (gone && member.instance().kind() != InstanceKind.DAEMON) {
        move(member, sessions);
      }
    }
  }

  private void move(Member member, Collection<ChatSession> sessions) {
    String id = member.instance().id();
    List<ChatSession> moving = new ArrayList<>();
    for (ChatSession session : sessions) {
      if (id.equals(session.endpoint())) {
        moving.add(session);
      }
    }
    moving.sort(Comparator.comparingLong(ChatSession::contextTokens).reversed());
    long now = clock.nanos();
    long endsAt = member.health() == Health.DEAD ? now : endsAt(member, now);
    long moveAt = now;
    for (ChatSession session : moving) {
      session.endpointLeaving(id, moveAt, endsAt);
      moveAt += intervalNanos;
    }
  }

  private long endsAt(Member member, long now) {
    long millis = member.instance().leavingAtMillis().map(at -> at - wallClock.millis()).orElse(0L);
    return now + millis * NANOS_PER_MILLI;
  }
}
