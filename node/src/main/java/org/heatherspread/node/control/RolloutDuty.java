package org.heatherspread.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.rollout.FleetCounts;
import org.heatherspread.core.rollout.RolloutDecider;
import org.heatherspread.core.rollout.RolloutOrder;
import org.heatherspread.core.rollout.RolloutPhase;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.rollout.RolloutStore;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.serving.ServiceConfig;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.WriteResult;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves services to other versions of their endpoints, as operators order.
 *
 * <p>Invariants: a state takes effect only once it is stored, together with the status that the
 * platform reads; it is stored only if nobody has stored another one since it was read, so that a
 * holder whose lease has ended decides nothing. A store that was restored from an earlier copy gets
 * the latest known state again. At most one write for each service is in progress. Confined to the
 * event loop.
 */
final class RolloutDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(RolloutDuty.class);

  /** Time between two publications of the states, well below the age at which views are stale. */
  private static final long PUBLISH_INTERVAL_MILLIS = 500;

  /** Time after the end of a move for which its state is published. */
  private static final long PUBLISH_AFTER_END_MILLIS = 5_000;

  /** Age of the operators' table that only a store failure explains. */
  private static final long OUTAGE_AGE_MILLIS = 2_600;

  private final RelayState state;
  private final FleetView fleet;
  private final RolloutOrders orders;
  private final RolloutExchange exchange;
  private final RolloutStore store;
  private final RolloutDecider decider;
  private final Supplier<String> writeIds;
  private final Map<String, Optional<Row>> rows = new HashMap<>();
  private final Set<String> busy = new HashSet<>();
  private final Map<String, Long> outageByOrder = new HashMap<>();
  private final Set<String> loggedOrders = new HashSet<>();
  private long lastObservedMillis;
  private long nextPublishMillis;
  private long lease;

  /**
   * Creates a duty.
   *
   * @param writeIds supplies a new random write id with each call
   */
  RolloutDuty(
      RelayState state,
      FleetView fleet,
      RolloutOrders orders,
      RolloutExchange exchange,
      RolloutStore store,
      RolloutDecider decider,
      Supplier<String> writeIds) {
    this.state = state;
    this.fleet = fleet;
    this.orders = orders;
    this.exchange = exchange;
    this.store = store;
    this.decider = decider;
    this.writeIds = writeIds;
  }

  /** Measures for how long the store cannot be read during moves. */
  @Override
  public void observe() {
    long now = state.clock().millis();
    long ageMillis = state.storeFreshness().ageMillis();
    long sinceMillis = now - lastObservedMillis;
    lastObservedMillis = now;
    boolean outage = ageMillis > OUTAGE_AGE_MILLIS && ageMillis != Long.MAX_VALUE;
    for (RolloutState each : state.versionRouting().gate().states()) {
      if (each.phase().isInProgress() && outage) {
        outageByOrder.merge(
            each.orderId(), sinceMillis, (known, more) -> Math.max(ageMillis, known + more));
      } else if (!each.phase().isInProgress()) {
        outageByOrder.remove(each.orderId());
      }
    }
  }

  @Override
  public void perform(long fencing) {
    if (state.config().isEmpty() || state.storeFreshness().ageMillis() > OUTAGE_AGE_MILLIS) {
      return;
    }
    FleetCounts counts = exchange.counts();
    for (DaemonReport report : fleet.allReports()) {
      report.rollouts().forEach(counts::add);
    }
    for (String service : services()) {
      if (busy.contains(service)) {
        continue;
      }
      if (rows.containsKey(service)) {
        decide(service, counts);
      } else {
        load(service);
      }
    }
    publish();
  }

  @Override
  public void onLeaseLost() {
    lease++;
    rows.clear();
    decider.reset();
  }

  private Set<String> services() {
    Set<String> services = new TreeSet<>(orders.services());
    for (ServiceConfig service : state.config().orElseThrow().services()) {
      services.add(service.name());
    }
    return services;
  }

  private void load(String service) {
    busy.add(service);
    long leaseAtStart = lease;
    store
        .get(RolloutFormat.key(service))
        .whenComplete(
            (found, failure) -> {
              busy.remove(service);
              if (failure != null) {
                logFailure(service, String.valueOf(failure.getMessage()));
              } else if (leaseAtStart == lease) {
                rows.put(service, found);
              }
            });
  }

  private void decide(String service, FleetCounts counts) {
    Optional<Row> row = rows.get(service);
    Optional<RolloutState> stored = row.map(Row::body).flatMap(RolloutFormat::read);
    Optional<RolloutState> known = state.versionRouting().gate().state(service);
    Optional<RolloutOrder> order = orders.find(service);
    boolean lost =
        known.isPresent() && (stored.isEmpty() || stored.get().sequence() < known.get().sequence());
    Map<String, Integer> endpoints = usableEndpoints(service);
    if (lost) {
      write(row, known.get(), true);
      return;
    }
    if (stored.isEmpty()) {
      decider
          .initial(service, endpoints.keySet(), order)
          .ifPresent(first -> write(row, first, false));
      return;
    }
    RolloutState current = stored.get();
    state.versionRouting().gate().apply(current, 0);
    counts.begin(service, current.orderId());
    RolloutDecider.View view =
        new RolloutDecider.View(
            state.storeFreshness().storeMillis(),
            endpoints,
            counts.sum(service),
            runningElsewhere(service, current.to()),
            hasStreams(service),
            outageByOrder.getOrDefault(current.orderId(), 0L));
    Optional<RolloutState> next = decider.next(current, order, view);
    if (next.isEmpty()) {
      return;
    }
    order.ifPresent(each -> logRefusal(current, each, next.get()));
    boolean statusChanged =
        next.get().phase() != RolloutPhase.NONE
            && (!next.get().to().equals(current.to())
                || next.get().phase() != current.phase()
                || !next.get().orderId().equals(current.orderId()));
    write(row, next.get(), statusChanged);
  }

  private Map<String, Integer> usableEndpoints(String service) {
    long now = state.clock().millis();
    Map<String, Integer> endpoints = new HashMap<>();
    for (TrackedEndpoint endpoint : state.endpoints().forService(service)) {
      if (endpoint.isUsable(now)) {
        endpoints.merge(endpoint.registration().version(), 1, Integer::sum);
      }
    }
    return endpoints;
  }

  /** Engines respond with streams. */
  private boolean hasStreams(String service) {
    return state
        .config()
        .flatMap(config -> config.service(service))
        .flatMap(ServiceConfig::engine)
        .isPresent();
  }

  private int runningElsewhere(String service, String version) {
    int running = 0;
    for (TrackedEndpoint endpoint : state.endpoints().forService(service)) {
      RegisteredEndpoint registration = endpoint.registration();
      running += registration.version().equals(version) ? 0 : endpoint.load().running();
    }
    return running;
  }

  private void logRefusal(RolloutState before, RolloutOrder order, RolloutState after) {
    boolean handled = after.handledId().equals(order.id());
    if (!handled || before.handledId().equals(order.id())) {
      return;
    }
    String refusal = RolloutDecider.refusal(before, order, after);
    if (!refusal.isEmpty() && loggedOrders.add(order.id())) {
      log.atWarn()
          .addKeyValue("service", order.service())
          .addKeyValue("to", order.to())
          .addKeyValue("order", order.id())
          .addKeyValue("reason", refusal)
          .log("rollout order refused");
    }
  }

  private void write(Optional<Row> row, RolloutState next, boolean withStatus) {
    String service = next.service();
    busy.add(service);
    long version = row.map(Row::version).orElse(0L) + 1;
    Row written =
        new Row(RolloutFormat.key(service), version, writeIds.get(), RolloutFormat.write(next));
    Condition condition =
        row.map(each -> Condition.versionIs(each.version())).orElseGet(Condition::absent);
    Optional<RolloutStore.Status> status =
        withStatus && next.phase() != RolloutPhase.NONE
            ? Optional.of(new RolloutStore.Status(service, next.to(), next.phase()))
            : Optional.empty();
    long leaseAtStart = lease;
    store
        .put(written, condition, status)
        .whenComplete(
            (result, failure) -> {
              busy.remove(service);
              if (failure != null || result != WriteResult.APPLIED) {
                // The write may have taken effect; what is stored decides.
                rows.remove(service);
                logFailure(
                    service, failure == null ? "conflict" : String.valueOf(failure.getMessage()));
                return;
              }
              if (leaseAtStart == lease) {
                rows.put(service, Optional.of(written));
              }
              onStored(next);
            });
  }

  private void onStored(RolloutState next) {
    if (state.versionRouting().gate().apply(next, 0)) {
      RolloutExchange.logState(next, "self");
    }
    exchange.publishStates(List.of(next), true);
  }

  private static void logFailure(String service, String reason) {
    log.atInfo()
        .addKeyValue("service", service)
        .addKeyValue("reason", reason)
        .log("rollout state not stored; it is read again");
  }

  /** Tells all daemons that the phases are still in force. */
  private void publish() {
    long now = state.clock().millis();
    if (now < nextPublishMillis) {
      return;
    }
    nextPublishMillis = now + PUBLISH_INTERVAL_MILLIS;
    long storeMillis = state.storeFreshness().storeMillis();
    List<RolloutState> current = new ArrayList<>();
    for (RolloutState each : state.versionRouting().gate().states()) {
      boolean ended = storeMillis - each.phaseSinceStoreMillis() > PUBLISH_AFTER_END_MILLIS;
      boolean own = rows.containsKey(each.service());
      if (own && (each.phase().isInProgress() || !ended)) {
        current.add(each);
      }
    }
    if (!current.isEmpty()) {
      exchange.publishStates(current, false);
    }
  }
}
