package org.heatherspread.node.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.capacity.DemandMeter;
import org.heatherspread.core.capacity.EndpointPlanner;
import org.heatherspread.core.capacity.EndpointPlanner.DomainState;
import org.heatherspread.core.capacity.EndpointPlanner.EndpointDemand;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.duty.DutyClient.EndpointOrder;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.serving.ScalingConfig;
import org.heatherspread.core.serving.ServiceConfig;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders the planned number of endpoints of each service. An order is sent when it differs from the
 * previous one of the same kind, and again if it has had no effect in time. Confined to the event
 * loop.
 */
final class AutoscalingDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(AutoscalingDuty.class);

  /** Target utilization of reclaimable endpoints, low enough that first tokens arrive in time. */
  private static final double RECLAIMABLE_UTILIZATION = 0.5;

  /** Target utilization of on-demand endpoints, which cost several times as much. */
  private static final double ON_DEMAND_UTILIZATION = 0.85;

  /** Time for which a new lease holder keeps the existing endpoints once it measures demand. */
  private static final long LEARNING_MILLIS = 8_000;

  /** Reclaimable endpoints ordered for each existing endpoint until the demand is known. */
  private static final double LEARNING_RATIO = 1.33;

  /** Time for which no reclaimable endpoints are ordered in a domain that had none available. */
  private static final long UNAVAILABLE_MILLIS = 3_000;

  /** Time after a reclaim in which more are expected, from the reclaim bursts observed. */
  private static final long RECLAIM_BURST_MILLIS = 8_000;

  private static final long PLAN_INTERVAL_MILLIS = 150;

  /** Time beyond the startup time after which an order without effect is repeated. */
  private static final long EFFECT_MARGIN_MILLIS = 4_000;

  private final RelayState state;
  private final FleetView fleet;
  private final DutyClient dutyClient;
  private final String self;
  private final EndpointPlanner planner = EndpointPlanner.create();
  private final Map<String, DemandMeter> meters = new HashMap<>();
  private final Map<String, TakeoverState> takeovers = new HashMap<>();
  private final Map<OrderKey, SentOrder> sentOrders = new HashMap<>();
  private final Map<OrderKey, Long> unavailableUntilMillis = new HashMap<>();
  private final Map<OrderKey, Integer> lastCounts = new HashMap<>();
  private long nextPlanMillis;
  private long reclaimBurstUntilMillis;

  AutoscalingDuty(RelayState state, FleetView fleet, DutyClient dutyClient, String self) {
    this.state = state;
    this.fleet = fleet;
    this.dutyClient = dutyClient;
    this.self = self;
  }

  /** Measures the demand, so that it is known when this daemon acquires the lease. */
  @Override
  public void observe() {
    if (state.config().isEmpty()) {
      return;
    }
    for (ServiceConfig service : state.config().get().services()) {
      if (service.scaling().isPresent()) {
        meter(service.name()).sample(workTotals(service.name()));
      }
    }
  }

  private DemandMeter meter(String service) {
    return meters.computeIfAbsent(service, name -> DemandMeter.create());
  }

  @Override
  public void perform(long fencing) {
    long now = state.clock().millis();
    if (now < nextPlanMillis || state.config().isEmpty()) {
      return;
    }
    nextPlanMillis = now + PLAN_INTERVAL_MILLIS;
    for (ServiceConfig service : state.config().get().services()) {
      Optional<ScalingConfig> scaling = service.scaling();
      if (scaling.isPresent()) {
        planService(service.name(), scaling.get(), fencing, now);
      }
    }
  }

  @Override
  public void onLeaseLost() {
    sentOrders.clear();
    takeovers.clear();
  }

  /** Returns the number of endpoints to keep until the demand is known, 0 from then on. */
  private int learningFloor(
      String service, Map<String, DomainState> states, DemandMeter meter, long now) {
    TakeoverState takeover = takeovers.computeIfAbsent(service, name -> new TakeoverState());
    if (takeover.learningUntilMillis == 0) {
      int onDemand = 0;
      int reclaimable = 0;
      for (DomainState domain : states.values()) {
        onDemand += domain.onDemand();
        reclaimable += domain.reclaimable();
      }
      // Reclaimable endpoints that start later replace on-demand ones, so they are not added.
      takeover.initialReclaimable =
          takeover.initialReclaimable < 0 ? reclaimable : takeover.initialReclaimable;
      takeover.floor = Math.max(takeover.floor, takeover.initialReclaimable + onDemand);
      if (meter.busyEndpoints() > 0) {
        takeover.learningUntilMillis = now + LEARNING_MILLIS;
      }
    }
    return takeover.learningUntilMillis == 0 || now < takeover.learningUntilMillis
        ? takeover.floor
        : 0;
  }

  private void planService(String service, ScalingConfig scaling, long fencing, long now) {
    DemandMeter meter = meter(service);
    Map<String, DomainState> states = domainStates(service, scaling, now);
    double busy = meter.busyEndpoints();
    int floor = learningFloor(service, states, meter, now);
    int learningDesired = (int) Math.ceil(LEARNING_RATIO * floor);
    int desired = Math.max(learningDesired, (int) Math.ceil(busy / RECLAIMABLE_UTILIZATION));
    int required = Math.max(floor, (int) Math.ceil(busy / ON_DEMAND_UTILIZATION));
    EndpointDemand demand = new EndpointDemand(desired, required, now < reclaimBurstUntilMillis);
    List<EndpointOrder> orders = planner.orders(service, scaling, demand, states);
    for (EndpointOrder order : orders) {
      sendIfNeeded(
          order, currentCount(order, states), scaling, fencing, now, meter.busyEndpoints());
    }
  }

  private Map<String, DemandMeter.Total> workTotals(String service) {
    Map<String, DemandMeter.Total> totals = new HashMap<>();
    for (DaemonReport report : fleet.liveReports()) {
      double work = report.work().getOrDefault(service, 0.0);
      totals.put(
          report.daemon() + '/' + report.life(),
          new DemandMeter.Total(work, report.atStoreMillis()));
    }
    return totals;
  }

  private Map<String, DomainState> domainStates(String service, ScalingConfig scaling, long now) {
    // On-demand endpoints at index 0, reclaimable ones at index 1.
    Map<String, int[]> countsByDomain = new HashMap<>();
    scaling.onDemandPrices().keySet().forEach(domain -> countsByDomain.put(domain, new int[2]));
    for (TrackedEndpoint endpoint : state.endpoints().forService(service)) {
      if (!state.versionRouting().countsAsCapacity(endpoint)) {
        continue;
      }
      RegisteredEndpoint registration = endpoint.registration();
      OrderKey key = new OrderKey(service, registration.domain(), registration.reclaimable());
      boolean reclaimNotice = registration.leaving() && registration.remainingMillis() >= 0;
      if (reclaimNotice && registration.reclaimable()) {
        recordReclaim(key, now);
      }
      int[] counts = countsByDomain.get(registration.domain());
      if (counts != null && endpoint.isUsable(now)) {
        counts[registration.reclaimable() ? 1 : 0]++;
      }
    }
    Map<String, DomainState> states = new HashMap<>();
    countsByDomain.forEach(
        (domain, counts) -> {
          detectReclaim(new OrderKey(service, domain, true), counts[1], now);
          long unavailableUntil =
              unavailableUntilMillis.getOrDefault(new OrderKey(service, domain, true), 0L);
          boolean offered = scaling.reclaimablePriceRatio() < 1;
          SentOrder onDemandOrder = sentOrders.get(new OrderKey(service, domain, false));
          int ordered = onDemandOrder == null ? 0 : onDemandOrder.count;
          states.put(
              domain,
              new DomainState(
                  Math.max(counts[0], ordered), counts[1], offered && now >= unavailableUntil));
        });
    return states;
  }

  /**
   * Records a reclaim, which takes all reclaimable endpoints of the domain and leaves no new ones
   * available for a while.
   */
  private void recordReclaim(OrderKey key, long now) {
    unavailableUntilMillis.merge(key, now + UNAVAILABLE_MILLIS, Math::max);
    sentOrders.remove(key);
    lastCounts.remove(key);
    reclaimBurstUntilMillis = now + RECLAIM_BURST_MILLIS;
  }

  /**
   * Detects a reclaim whose notice was not seen: all reclaimable endpoints of a domain disappear at
   * once without an order for none.
   */
  private void detectReclaim(OrderKey key, int count, long now) {
    Integer previousCount = lastCounts.put(key, count);
    SentOrder order = sentOrders.get(key);
    boolean desired = order == null || order.count > 0;
    if (previousCount != null && previousCount > 0 && count == 0 && desired) {
      recordReclaim(key, now);
    }
  }

  private static int currentCount(EndpointOrder order, Map<String, DomainState> states) {
    DomainState domain = states.get(order.domain());
    return order.reclaimable() ? domain.reclaimable() : domain.onDemand();
  }

  private void sendIfNeeded(
      EndpointOrder order,
      int currentCount,
      ScalingConfig scaling,
      long fencing,
      long now,
      double busy) {
    OrderKey key = new OrderKey(order.service(), order.domain(), order.reclaimable());
    SentOrder last = sentOrders.get(key);
    if (last != null && last.count == order.count()) {
      boolean overdue = now - last.sentAtMillis > scaling.startupMillis() + EFFECT_MARGIN_MILLIS;
      if (currentCount == order.count() || !overdue) {
        return;
      }
    }
    if (last == null && currentCount == order.count()) {
      return;
    }
    sentOrders.put(key, new SentOrder(order.count(), now));
    log.atInfo()
        .addKeyValue("service", order.service())
        .addKeyValue("domain", order.domain())
        .addKeyValue("reclaimable", order.reclaimable())
        .addKeyValue("count", order.count())
        .addKeyValue("seen", currentCount)
        .addKeyValue("busy", busy)
        .addKeyValue("engine", state.enginePerformance(order.service()).estimate())
        .addKeyValue("fencing", fencing)
        .log("endpoints ordered");
    dutyClient
        .order(self, fencing, order)
        .whenComplete((outcome, failure) -> onOrderCompleted(key, order, outcome, failure));
  }

  private void onOrderCompleted(
      OrderKey key, EndpointOrder order, DutyClient.Outcome outcome, Throwable failure) {
    if (failure == null && outcome == DutyClient.Outcome.DONE) {
      return;
    }
    log.atInfo()
        .addKeyValue("service", order.service())
        .addKeyValue("domain", order.domain())
        .addKeyValue("reclaimable", order.reclaimable())
        .addKeyValue("count", order.count())
        .addKeyValue("outcome", String.valueOf(outcome))
        .addKeyValue("reason", failure == null ? "" : String.valueOf(failure.getMessage()))
        .log("order not carried out");
    sentOrders.remove(key);
    if (outcome == DutyClient.Outcome.NONE_AVAILABLE && order.reclaimable()) {
      unavailableUntilMillis.put(key, state.clock().millis() + UNAVAILABLE_MILLIS);
    }
  }

  /** The endpoints of a service that a new lease holder keeps until it knows the demand. */
  private static final class TakeoverState {
    private int initialReclaimable = -1;
    private int floor;
    private long learningUntilMillis;
  }

  private record OrderKey(String service, String domain, boolean reclaimable) {}

  private record SentOrder(int count, long sentAtMillis) {}
}
