package org.heatherspread.node.control;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.rollout.RolloutBounds;
import org.heatherspread.core.rollout.RolloutDecider;
import org.heatherspread.core.rollout.RolloutStore;
import org.heatherspread.node.peer.SharedFacts;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.ConfigurationParser;
import org.heatherspread.platform.PlatformTables;
import org.heatherspread.relay.call.RelayState;

/**
 * The parts of the control plane that move services to other versions. Invariant: without the
 * feature, nothing is exchanged, decided or stored. Confined to the event loop.
 */
final class RolloutControl {
  /** Time over which the reports of all daemons are spread after the phase of a move changed. */
  private static final int MAX_REPORT_SPREAD_MILLIS = 500;

  private final RelayState state;
  private final RolloutStore store;
  private final RolloutExchange exchange;
  private final RolloutOrders orders;

  private RolloutControl(
      RelayState state, RolloutStore store, RolloutExchange exchange, RolloutOrders orders) {
    this.state = state;
    this.store = store;
    this.exchange = exchange;
    this.orders = orders;
  }

  /**
   * Creates an instance that is not started.
   *
   * @param self name of this daemon
   */
  static RolloutControl create(
      RelayState state, SharedFacts facts, RolloutStore store, String self) {
    ConfigurationListener configuration =
        new ConfigurationListener(
            state, PlatformTables.CONFIGURATION_KEY, ConfigurationParser::parse);
    return new RolloutControl(
        state, store, RolloutExchange.create(state, facts, self), new RolloutOrders(configuration));
  }

  /** Returns the listener to the operators' table, which applies the configuration as well. */
  TableListener operatorsListener() {
    return orders;
  }

  /** Returns a listener to the table of the daemon reports, which passes the reports on. */
  TableListener reportsListener(TableListener reports) {
    return new RolloutStates(reports, state.versionRouting().gate());
  }

  boolean isEnabled() {
    return state.versionRouting().isEnabled();
  }

  /**
   * Starts the exchange with other daemons.
   *
   * @param report writes a report; resumable streams begin according to the splits in it, so it is
   *     due soon after a phase has changed, but not at the same moment at all daemons
   */
  void start(Runnable report) {
    if (!isEnabled()) {
      return;
    }
    exchange.start();
    state
        .versionRouting()
        .gate()
        .onChange(
            () -> {
              long delayMillis = state.random().nextInt(MAX_REPORT_SPREAD_MILLIS);
              state.loop().schedule(report, delayMillis, TimeUnit.MILLISECONDS);
            });
  }

  DutyRunner.Duty createDuty(
      FleetView fleet, NodeSettings.Bounds bounds, Supplier<String> writeIds) {
    RolloutBounds rolloutBounds =
        new RolloutBounds(
            bounds.canaryFraction(),
            bounds.canaryTolerance(),
            bounds.partitionExtension().toMillis());
    RolloutDecider decider = RolloutDecider.create(rolloutBounds);
    return new RolloutDuty(state, fleet, orders, exchange, store, decider, writeIds);
  }
}
