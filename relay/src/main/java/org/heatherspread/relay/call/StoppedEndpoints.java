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
   * @param endpoints all endpoints
   */
  void recordRegistrationsReadable(boolean readable, Iterable<TrackedEndpoint> endpoints) {
    boolean failed = registrationsReadable && !readable;
    registrationsReadable = readable;
    if (failed) {
      endpoints.forEach(StoppedEndpoints::markUnverifiable);
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
      markUnverifiable(endpoint);
    }
  }

  private static void markUnverifiable(TrackedEndpoint endpoint) {
    if (endpoint.markUnverifiable()) {
      log.atInfo()
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("incarnation", endpoint.registration().startedAtMillis())
          .addKeyValue("version", endpoint.registration().version())
          .log("endpoint may have stopped; its next registration tells its version");
    }
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
