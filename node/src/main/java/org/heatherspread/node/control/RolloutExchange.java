package org.heatherspread.node.control;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.rollout.FleetCounts;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.rollout.ServiceCounts;
import org.heatherspread.core.rollout.VersionGate;
import org.heatherspread.node.peer.FactKinds;
import org.heatherspread.node.peer.SharedFacts;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.call.VersionRouting;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges what daemons know of moves of services to other versions: counts of responses, states
 * that the holder of the duty lease has stored, and stops after several bad responses. Confined to
 * the event loop.
 */
final class RolloutExchange {
  private static final Logger log = LoggerFactory.getLogger(RolloutExchange.class);

  /** Time between two publications of counts, so that those of 86 daemons displace few facts. */
  private static final long COUNTS_INTERVAL_MILLIS = 1_000;

  /** Time in which bad responses are collected before they are published. */
  private static final long BAD_COUNTS_MILLIS = 200;

  private final RelayState state;
  private final VersionRouting routing;
  private final SharedFacts facts;
  private final String self;
  private final FleetCounts counts = FleetCounts.create();
  private boolean badCountsScheduled;

  private RolloutExchange(RelayState state, SharedFacts facts, String self) {
    this.state = state;
    this.routing = state.versionRouting();
    this.facts = facts;
    this.self = self;
  }

  /**
   * Creates an exchange; nothing is exchanged before {@link #start}.
   *
   * @param self name of this daemon
   */
  static RolloutExchange create(RelayState state, SharedFacts facts, String self) {
    return new RolloutExchange(state, facts, self);
  }

  /** A daemon sends nothing to the version of an order for a while. Sent as JSON. */
  record Stop(String service, String orderId) {}

  void start() {
    facts.onFact(
        FactKinds.ROLLOUT_COUNTS,
        new TypeReference<List<ServiceCounts>>() {},
        (daemon, received, ageMillis) -> received.forEach(counts::add));
    facts.onFact(
        FactKinds.ROLLOUT_STATES,
        new TypeReference<List<RolloutState>>() {},
        (daemon, received, ageMillis) ->
            received.forEach(each -> applyState(each, daemon, ageMillis)));
    facts.onFact(
        FactKinds.ROLLOUT_STOPS,
        new TypeReference<Stop>() {},
        (daemon, stop, ageMillis) ->
            routing.gate().stop(stop.service(), stop.orderId(), daemon, false, ageMillis));
    routing.meter().onSeveralBad(this::stop);
    routing.meter().onBad(this::publishBadSoon);
    state
        .loop()
        .scheduleWithFixedDelay(
            this::publishCounts,
            COUNTS_INTERVAL_MILLIS,
            COUNTS_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void applyState(RolloutState received, String daemon, long ageMillis) {
    if (routing.gate().apply(received, ageMillis)) {
      logState(received, daemon);
    }
  }

  /** Returns the counts of all daemons, with the latest ones of this daemon. */
  FleetCounts counts() {
    routing.meter().counts().forEach(counts::add);
    return counts;
  }

  private void stop(String service, String orderId) {
    VersionGate gate = routing.gate();
    gate.stop(service, orderId, self, true, 0);
    log.atWarn()
        .addKeyValue("service", service)
        .addKeyValue("version", gate.state(service).map(RolloutState::to).orElse(""))
        .log("several responses of the new version were bad; nothing is sent to it for a while");
    facts.publish(FactKinds.ROLLOUT_COUNTS, routing.meter().counts());
    facts.publishUrgently(FactKinds.ROLLOUT_STOPS, new Stop(service, orderId));
  }

  /** Publishes bad responses soon, as most requests go to the new version in the shift. */
  private void publishBadSoon() {
    if (!badCountsScheduled) {
      badCountsScheduled = true;
      state.loop().schedule(this::publishBad, BAD_COUNTS_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void publishBad() {
    badCountsScheduled = false;
    facts.publishUrgently(FactKinds.ROLLOUT_COUNTS, routing.meter().counts());
  }

  private void publishCounts() {
    List<ServiceCounts> own = routing.meter().counts();
    if (!own.isEmpty()) {
      facts.publish(FactKinds.ROLLOUT_COUNTS, own);
    }
  }

  /** Publishes states that are stored; called only by the holder of the duty lease. */
  void publishStates(List<RolloutState> states, boolean urgent) {
    if (urgent) {
      facts.publishUrgently(FactKinds.ROLLOUT_STATES, states);
    } else {
      facts.publish(FactKinds.ROLLOUT_STATES, states);
    }
  }

  /**
   * Logs a state that is new to this daemon.
   *
   * @param source the daemon that published it, or the store
   */
  static void logState(RolloutState state, String source) {
    log.atInfo()
        .addKeyValue("service", state.service())
        .addKeyValue("phase", state.phase().toString())
        .addKeyValue("to", state.to())
        .addKeyValue("in_force", String.join(" ", state.inForce()))
        .addKeyValue("share", state.share())
        .addKeyValue("sequence", state.sequence())
        .addKeyValue("reason", state.reason())
        .addKeyValue("source", source)
        .log("versions of the service");
  }
}
