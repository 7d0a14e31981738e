package org.heatherspread.node.control;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.fleet.IsolatedDaemons;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.node.peer.FactKinds;
import org.heatherspread.node.peer.SharedFacts;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells all daemons when this one has lost the path to the endpoints, so that the directory leaves
 * it out, and tries to reach endpoints until one accepts a connection. Confined to the event loop.
 */
final class IsolationMonitor {
  private static final Logger log = LoggerFactory.getLogger(IsolationMonitor.class);

  private static final long CHECK_MILLIS = 200;

  /** Number of endpoints to which a check tries to connect if the daemon may be isolated. */
  private static final int PROBED_ENDPOINTS = 3;

  private final RelayState state;
  private final SharedFacts facts;
  private final String self;
  private final PathProbe pathProbe;
  private final IsolatedDaemons isolatedDaemons = IsolatedDaemons.create();
  private boolean announced;
  private long announcedMillis;

  /** Tries to connect to an endpoint. */
  interface PathProbe {
    /** Starts to connect, and runs the action for the outcome. */
    void connect(TrackedEndpoint endpoint, Runnable onReached, Runnable onFailed);
  }

  private IsolationMonitor(RelayState state, SharedFacts facts, String self, PathProbe pathProbe) {
    this.state = state;
    this.facts = facts;
    this.self = self;
    this.pathProbe = pathProbe;
  }

  /**
   * Creates a monitor.
   *
   * @param self name of this daemon
   */
  static IsolationMonitor create(RelayState state, SharedFacts facts, String self) {
    return create(state, facts, self, state::probePath);
  }

  static IsolationMonitor create(
      RelayState state, SharedFacts facts, String self, PathProbe pathProbe) {
    return new IsolationMonitor(state, facts, self, pathProbe);
  }

  /** Starts to check this daemon and to receive what others say. */
  void start() {
    facts.onFact(
        FactKinds.ISOLATED,
        new TypeReference<Boolean>() {},
        (daemon, isolated, ageMillis) ->
            isolatedDaemons.record(daemon, isolated, ageMillis, state.clock().millis()));
    state
        .loop()
        .scheduleWithFixedDelay(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Evaluates the recent outcomes of requests, announces changes and probes if isolated. */
  void check() {
    try {
      long now = state.clock().millis();
      boolean isolated = state.isolation().update(state.endpoints().all(), now);
      if (isolated != announced) {
        log.atInfo().addKeyValue("isolated", isolated).log("path to the endpoints changed");
      }
      boolean repeat = isolated && now - announcedMillis >= IsolatedDaemons.REPEAT_MILLIS;
      if (isolated != announced || repeat) {
        announce(isolated, now);
      }
      if (isolated || state.isolation().isSuspected(state.endpoints().all(), now)) {
        probe();
      }
    } catch (RuntimeException e) {
      log.atError().setCause(e).log("path to the endpoints not checked");
    }
  }

  private void announce(boolean isolated, long now) {
    announced = isolated;
    announcedMillis = now;
    isolatedDaemons.record(self, isolated, 0, now);
    facts.publishUrgently(FactKinds.ISOLATED, isolated);
  }

  private void probe() {
    List<TrackedEndpoint> endpoints = new ArrayList<>(state.endpoints().all());
    for (int i = 0; i < PROBED_ENDPOINTS && !endpoints.isEmpty(); i++) {
      TrackedEndpoint endpoint = endpoints.remove(state.random().nextInt(endpoints.size()));
      pathProbe.connect(
          endpoint,
          () -> state.isolation().recordReached(state.clock().millis()),
          () -> state.isolation().recordUnreachable(endpoint, state.clock().millis()));
    }
  }

  /** Returns the daemons that have said lately that they have no path to the endpoints. */
  Set<String> isolatedDaemons() {
    return isolatedDaemons.names(state.clock().millis());
  }

  /** Returns the entries of daemons that have a path to the endpoints, or all if none has. */
  <V> Map<String, V> retainReachable(Map<String, V> byDaemon) {
    return isolatedDaemons.retainReachable(byDaemon, state.clock().millis());
  }
}
