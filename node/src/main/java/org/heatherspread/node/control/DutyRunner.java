package org.heatherspread.node.control;

import java.time.Duration;
import java.util.OptionalLong;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.heatherspread.core.lease.LeaseClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the lease of the duties if it can, and does them while it certainly does. Invariant: after
 * the process stood still, nothing is done before the lease has been read again.
 */
final class DutyRunner extends AbstractBehavior<DutyRunner.Command> {
  private static final Logger log = LoggerFactory.getLogger(DutyRunner.class);

  private static final Duration INTERVAL = Duration.ofMillis(200);

  /** Daemons that look at the lease all the time; the others do now and then. */
  private static final int CANDIDATES = 2;

  /** Ticks after which the others look at the lease in a small fleet. */
  private static final int SKIP = 20;

  /** Ticks more for each daemon, so that all looks together stay at one a second or so. */
  private static final int SKIP_PER_DAEMON = 5;

  /** What the actor is told. */
  enum Command {
    /** Do what is due. */
    TICK,
    /** Give the lease up and do nothing more. */
    STOP
  }

  /** A duty of one daemon at a time. */
  interface Duty {
    /** Follows what a holder would have to know; called whether or not the lease is held. */
    default void observe() {}

    /** Does what is due; the fencing number holds for calls made now. */
    void perform(long fencing);

    /** Forgets what was believed of calls made, as another daemon may act from now on. */
    void onLeaseLost();
  }

  /** Tells this daemon's place among those that may take the lease. */
  interface CandidateRank {
    /** Returns the place, 0 for the first. */
    int rank();

    /** Returns how many daemons there are. */
    int daemonCount();
  }

  private final LeaseClient lease;
  private final CandidateRank rank;
  private final Iterable<Duty> duties;
  private final PauseDetector guard;
  private boolean left;
  private int skipped;
  private boolean held;

  private DutyRunner(
      ActorContext<Command> context,
      TimerScheduler<Command> timers,
      LeaseClient lease,
      CandidateRank rank,
      Iterable<Duty> duties,
      PauseDetector guard) {
    super(context);
    this.lease = lease;
    this.rank = rank;
    this.duties = duties;
    this.guard = guard;
    timers.startTimerWithFixedDelay(Command.TICK, INTERVAL);
  }

  static Behavior<Command> create(
      LeaseClient lease, CandidateRank rank, Iterable<Duty> duties, PauseDetector guard) {
    return Behaviors.setup(
        context ->
            Behaviors.withTimers(
                timers -> new DutyRunner(context, timers, lease, rank, duties, guard)));
  }

  @Override
  public Receive<Command> createReceive() {
    return newReceiveBuilder()
        .onMessageEquals(Command.TICK, this::onTick)
        .onMessageEquals(Command.STOP, this::onLeave)
        .build();
  }

  private Behavior<Command> onTick() {
    if (guard.pausedSinceLastCheck()) {
      lease.invalidate();
      log.atInfo().log("process stood still; lease is read again");
    }
    if (left) {
      return this;
    }
    duties.forEach(Duty::observe);
    OptionalLong fencing = lease.fencingToken();
    noteChange(fencing);
    if (fencing.isPresent()) {
      for (Duty duty : duties) {
        duty.perform(fencing.getAsLong());
      }
    }
    int place = rank.rank();
    if (held || place < CANDIDATES || ++skipped >= SKIP + SKIP_PER_DAEMON * rank.daemonCount()) {
      skipped = 0;
      lease.step(place);
    }
    return this;
  }

  private void noteChange(OptionalLong fencing) {
    if (fencing.isPresent() == held) {
      return;
    }
    held = fencing.isPresent();
    if (!held) {
      duties.forEach(Duty::onLeaseLost);
    }
    log.atInfo()
        .addKeyValue("held", held)
        .addKeyValue("fencing", fencing.orElse(0))
        .log("lease of the duties");
  }

  private Behavior<Command> onLeave() {
    if (!left) {
      left = true;
      duties.forEach(Duty::onLeaseLost);
      lease.release();
    }
    return this;
  }
}
