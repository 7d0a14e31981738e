package org.heatherspread.relay.call;

import java.util.function.Consumer;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out which registered incarnations of endpoints have ended or may have: nothing listened at
 * their addresses, or all connections to them were lost and their next registration would not be
 * seen. What listens there later under the same id may have another version, which its next
 * registration says. Until then no stream continues there, as what endpoints of different versions
 * generate does not fit together.
 *
 * <p>A network may refuse and reset connections, too: callers do not record an endpoint as stopped
 * while an older connection to it lives on, and one that is merely in doubt still gets its share of
 * new streams. Confined to one event loop.
 */
public final class StoppedEndpoints {
  private static final Logger log = LoggerFactory.getLogger(StoppedEndpoints.class);

  private final MonotonicClock clock;
  private Consumer<EndpointIncarnation> listener = stopped -> {};
  private Consumer<EndpointIncarnation> doubtListener = doubted -> {};
  private boolean registrationsReadable = true;

  private StoppedEndpoints(MonotonicClock clock) {
    this.clock = clock;
  }

  static StoppedEndpoints create(MonotonicClock clock) {
    return new StoppedEndpoints(clock);
  }

  /** Sets a listener to incarnations that have ended according to this daemon. */
  public void onStopped(Consumer<EndpointIncarnation> stoppedListener) {
    listener = stoppedListener;
  }

  /** Sets a listener to incarnations that may have ended according to this daemon. */
  public void onDoubt(Consumer<EndpointIncarnation> listener) {
    doubtListener = listener;
  }

  /** Records that nothing listens at the address of an endpoint, or another endpoint does. */
  void recordStopped(TrackedEndpoint endpoint) {
    if (endpoint.markStopped(clock.millis())) {
      logStopped(endpoint, "connection");
      listener.accept(incarnation(endpoint));
    }
  }

  /**
   * Records whether the registrations of the endpoints can be read.
   *
   * @param unconnected endpoints to which no connection has lived on since others were lost
   */
  void recordRegistrationsReadable(boolean readable, Iterable<TrackedEndpoint> unconnected) {
    boolean failed = registrationsReadable && !readable;
    registrationsReadable = readable;
    if (failed) {
      unconnected.forEach(this::recordOwnDoubt);
    }
  }

  /** Records that all connections of this daemon to an endpoint were lost. */
  void recordDisconnection(TrackedEndpoint endpoint) {
    endpoint.recordDisconnection(clock.millis());
    if (!registrationsReadable) {
      log.atInfo()
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("incarnation", endpoint.registration().startedAtMillis())
          .addKeyValue("version", endpoint.registration().version())
          .log("all connections to the endpoint were lost");
      recordOwnDoubt(endpoint);
    } else if (endpoint.isReportedDoubtful()) {
      markUnverifiable(endpoint, "report");
    }
  }

  private void recordOwnDoubt(TrackedEndpoint endpoint) {
    boolean disconnected = endpoint.isDisconnected();
    if (markUnverifiable(endpoint, "connection") && disconnected) {
      doubtListener.accept(incarnation(endpoint));
    }
  }

  /**
   * Records that another daemon lost its connections to an incarnation and cannot read
   * registrations. A daemon that can read them, and lost no connections, need not doubt it.
   *
   * @param connected whether a connection of this daemon shows that the incarnation runs
   */
  void mergeDoubt(
      TrackedEndpoint endpoint,
      EndpointIncarnation doubted,
      String daemon,
      long ageMillis,
      boolean connected) {
    if (!incarnation(endpoint).equals(doubted)) {
      return;
    }
    endpoint.recordReportedDoubt(clock.millis() - ageMillis);
    if (!connected && (!registrationsReadable || endpoint.isDisconnected())) {
      markUnverifiable(endpoint, daemon);
    }
  }

  private static boolean markUnverifiable(TrackedEndpoint endpoint, String source) {
    boolean changed = endpoint.markUnverifiable();
    if (changed) {
      log.atInfo()
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("incarnation", endpoint.registration().startedAtMillis())
          .addKeyValue("version", endpoint.registration().version())
          .addKeyValue("source", source)
          .log("endpoint may have stopped; its next registration tells its version");
    }
    return changed;
  }

  /**
   * Records that another daemon found that an incarnation has ended.
   *
   * @param endpoint endpoint with the id of the incarnation
   * @param ageMillis time since the other daemon found it
   */
  void merge(TrackedEndpoint endpoint, EndpointIncarnation stopped, String daemon, long ageMillis) {
    if (incarnation(endpoint).equals(stopped) && endpoint.markStopped(clock.millis() - ageMillis)) {
      logStopped(endpoint, daemon);
    }
  }

  /**
   * Records that an endpoint was running, at the registered version.
   *
   * @param atMillis time at which it certainly was
   */
  public void confirmRunning(TrackedEndpoint endpoint, long atMillis) {
    if (endpoint.confirmRunning(atMillis)) {
      log.atInfo()
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("version", endpoint.registration().version())
          .log("endpoint runs on");
    }
  }

  private static EndpointIncarnation incarnation(TrackedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.registration().startedAtMillis());
  }

  private static void logStopped(TrackedEndpoint endpoint, String source) {
    log.atInfo()
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("incarnation", endpoint.registration().startedAtMillis())
        .addKeyValue("version", endpoint.registration().version())
        .addKeyValue("source", source)
        .log("endpoint has stopped; its next registration tells its version");
  }
}
