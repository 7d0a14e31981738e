package org.heatherspread.node.control;

import java.time.Duration;
import java.util.OptionalLong;
import org.heatherspread.core.lease.LeaseClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Competes for the duty lease and performs the duties while it certainly holds it. Invariants:
 * after a pause of the process, no duty is performed before the lease has been read again; when the
 * lease is lost or released, the calls in progress are given up first, so that none arrives after
 * those of the next holder.
 */
final class DutyRunner {
  private static final Logger log = LoggerFactory.getLogger(DutyRunner.class);

  private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

  /** Number of daemons that check the lease on every tick. */
  private static final int CANDIDATES = 2;

  /** Ticks between two lease checks of the other daemons, in a small fleet. */
  private static final int STANDBY_TICKS = 20;

  /**
   * Further ticks between those checks for each daemon of the fleet, which keeps the checks of all
   * daemons together at about one per second.
   */
  private static final int STANDBY_TICKS_PER_DAEMON = 5;

  /** A task that one daemon at a time performs for the fleet. */
  interface Duty {
    /** Updates the state that a lease holder needs; called whether or not the lease is held. */
    default void observe() {}

    /**
     * Performs the work that is due.
     *
     * @param fencing token of the lease, valid only for calls made during this invocation
     */
    void perform(long fencing);

    /** Discards the state of calls made so far, since another daemon may make calls from now on. */
    void onLeaseLost();
  }

  /** Ranks this daemon among the candidates for the lease. */
  interface CandidateRank {
    /** Returns the rank of this daemon, 0 for the first candidate. */
    int rank();

    /** Returns the number of daemons in the fleet. */
    int daemonCount();
  }

  private final TaskContext.Timer nextTick;
  private final LeaseClient lease;
  private final Runnable abortCalls;
  private final CandidateRank candidateRank;
  private final Iterable<Duty> duties;
  private final PauseDetector pauseDetector;
  private boolean stopped;
  private int skippedTicks;
  private boolean held;

  private DutyRunner(
      TaskContext context,
      LeaseClient lease,
      Runnable abortCalls,
      CandidateRank candidateRank,
      Iterable<Duty> duties,
      PauseDetector pauseDetector) {
    this.nextTick = context.createTimer(this::tick);
    this.lease = lease;
    this.abortCalls = abortCalls;
    this.candidateRank = candidateRank;
    this.duties = duties;
    this.pauseDetector = pauseDetector;
    nextTick.start(TICK_INTERVAL);
  }

  /**
   * Starts a runner.
   *
   * @param abortCalls gives up the calls of the duties in progress
   */
  static DutyRunner start(
      TaskContext context,
      LeaseClient lease,
      Runnable abortCalls,
      CandidateRank candidateRank,
      Iterable<Duty> duties,
      PauseDetector pauseDetector) {
    return new DutyRunner(context, lease, abortCalls, candidateRank, duties, pauseDetector);
  }

  /** Checks the lease and performs the duties that are due. */
  private void tick() {
    nextTick.start(TICK_INTERVAL);
    if (pauseDetector.pausedSinceLastCheck()) {
      lease.invalidate();
      log.atInfo().log("process stood still; lease is read again");
    }
    if (stopped) {
      return;
    }
    duties.forEach(Duty::observe);
    OptionalLong fencing = lease.fencingToken();
    updateHeld(fencing);
    if (fencing.isPresent()) {
      for (Duty duty : duties) {
        duty.perform(fencing.getAsLong());
      }
    }
    int rank = candidateRank.rank();
    if (held
        || rank < CANDIDATES
        || ++skippedTicks
            >= STANDBY_TICKS + STANDBY_TICKS_PER_DAEMON * candidateRank.daemonCount()) {
      skippedTicks = 0;
      lease.step(rank);
    }
  }

  private void updateHeld(OptionalLong fencing) {
    if (fencing.isPresent() == held) {
      return;
    }
    held = fencing.isPresent();
    if (!held) {
      giveUpDuties();
    }
    log.atInfo()
        .addKeyValue("held", held)
        .addKeyValue("fencing", fencing.orElse(0))
        .log("lease of the duties");
  }

  private void giveUpDuties() {
    abortCalls.run();
    duties.forEach(Duty::onLeaseLost);
  }

  /** Releases the lease and performs no more duties. */
  void stop() {
    if (!stopped) {
      stopped = true;
      giveUpDuties();
      lease.release();
    }
  }
}
