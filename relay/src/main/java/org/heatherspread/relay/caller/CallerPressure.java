package org.heatherspread.relay.caller;

import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.buffer.HeadBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which connections of callers make room for others, at all listeners of a daemon together,
 * if descriptors or memory run out.
 *
 * <p>Invariants: connections without a request go before those with an incomplete one; a connection
 * whose request was passed to its handler is never closed; connections to listeners that answer
 * probes have a reserve. Confined to one thread.
 */
public final class CallerPressure {
  private static final Logger log = LoggerFactory.getLogger(CallerPressure.class);

  /** Connections beyond the maximum that only listeners for probes accept. */
  private static final int PROBE_RESERVE = 32;

  /** Connections closed when the process has no descriptor left for an accepted one. */
  private static final int CLOSED_AT_ONCE = 16;

  private final CallerProtection protection;
  private final MonotonicClock clock;
  private final HeadBudget heads;
  private final LogLimiter logLimiter;

  /** In the order in which they were accepted. */
  private final Set<CallerConnection> connections = new LinkedHashSet<>();

  private long closedCount;
  private long evictedCount;

  private CallerPressure(CallerProtection protection, MonotonicClock clock) {
    this.protection = protection;
    this.clock = clock;
    this.heads = HeadBudget.create(protection.headBytes());
    this.logLimiter = new LogLimiter(clock);
  }

  /** Creates an instance without connections, for all servers of one daemon. */
  public static CallerPressure create(CallerProtection protection, MonotonicClock clock) {
    return new CallerPressure(protection, clock);
  }

  /** How readily a connection makes room, in the order in which connections are closed. */
  enum Rank {
    /** The output has ended. */
    ENDED,
    /** Nothing but parts of a head have been received since the connection was accepted. */
    UNUSED,
    /** A request is incomplete, and nothing of it has come for the time of a stall. */
    STALLED,
    /** Idle after a response. */
    IDLE,
    /** A request is being received. */
    RECEIVING,
    /** A request was passed to its handler; never closed. */
    RUNNING
  }

  /** Adds an accepted connection; returns false if it has to be closed, as there is no room. */
  boolean admit(CallerConnection connection, boolean forProbes) {
    int max = protection.maxConnections() + (forProbes ? PROBE_RESERVE : 0);
    boolean admitted = connections.size() < max || closeOne("connections");
    if (!admitted) {
      closedCount++;
      logClosed("refused");
      return false;
    }
    connections.add(connection);
    return true;
  }

  void remove(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Closes connections as no descriptor was left for one that was to be accepted. */
  void onDescriptorsExhausted() {
    for (int i = 0; i < CLOSED_AT_ONCE; i++) {
      if (!closeOne("descriptors")) {
        return;
      }
    }
  }

  private boolean closeOne(String cause) {
    CallerConnection victim = null;
    Rank lowest = Rank.RUNNING;
    for (CallerConnection candidate : connections) {
      Rank rank = candidate.progress().rank(clock.millis(), protection.stallMillis());
      if (rank.compareTo(lowest) < 0) {
        victim = candidate;
        lowest = rank;
      }
      if (lowest == Rank.ENDED) {
        break;
      }
    }
    if (victim == null) {
      return false;
    }
    closedCount++;
    logClosed(cause);
    connections.remove(victim);
    victim.close();
    return true;
  }

  private void logClosed(String cause) {
    if (logLimiter.permitsLine()) {
      log.atWarn()
          .addKeyValue("cause", cause)
          .addKeyValue("connections", connections.size())
          .addKeyValue("closed", closedCount)
          .addKeyValue("lines_left_out", logLimiter.takeSuppressed())
          .log("connection of a caller closed to make room");
    }
  }

  /**
   * Refuses the largest body of a request that has stalled; returns false if there is none.
   *
   * @param asking connection that needs bytes
   */
  boolean refuseStalledBody(CallerConnection asking) {
    CallerConnection largest = null;
    for (CallerConnection candidate : connections) {
      boolean stalled =
          candidate != asking
              && candidate.reservedBodyBytes() > 0
              && candidate.progress().rank(clock.millis(), protection.stallMillis())
                  == Rank.STALLED;
      if (stalled
          && (largest == null || candidate.reservedBodyBytes() > largest.reservedBodyBytes())) {
        largest = candidate;
      }
    }
    if (largest == null) {
      return false;
    }
    largest.refuseIncomplete("stalled");
    return true;
  }

  /** Counts a request that is given up before it was complete, to make room for others. */
  void recordEviction(String cause) {
    evictedCount++;
    if (logLimiter.permitsLine()) {
      log.atWarn()
          .addKeyValue("cause", cause)
          .addKeyValue("head_bytes", heads.usedBytes())
          .addKeyValue("evicted", evictedCount)
          .addKeyValue("lines_left_out", logLimiter.takeSuppressed())
          .log("incomplete request of a caller given up to make room");
    }
  }

  /** Logs that a request was refused while it was read. */
  void logRejection(int status, String reason, SocketAddress peer) {
    if (logLimiter.permitsLine()) {
      log.atInfo()
          .addKeyValue("status", status)
          .addKeyValue("reason", reason)
          .addKeyValue("peer", String.valueOf(peer))
          .addKeyValue("lines_left_out", logLimiter.takeSuppressed())
          .log("request refused before it was read");
    }
  }

  HeadBudget heads() {
    return heads;
  }

  /** Returns the number of connections that were closed or not accepted, to make room. */
  public long closedCount() {
    return closedCount;
  }

  /** Returns the number of incomplete requests that were given up, to make room. */
  public long evictedCount() {
    return evictedCount;
  }

  /** Returns the estimated heap of the heads of requests. */
  public long headBytes() {
    return heads.usedBytes();
  }
}
