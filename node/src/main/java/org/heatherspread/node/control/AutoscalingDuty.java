package org.heatherspread.node.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.capacity.DemandMeter;
import org.heatherspread.core.capacity.EndpointPlan;
import org.heatherspread.core.capacity.EndpointPlan.DomainState;
import org.heatherspread.core.capacity.EndpointPlan.Need;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.duty.DutyClient.EndpointOrder;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.serving.ScalingRule;
import org.heatherspread.core.serving.ServiceRule;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Orders endpoints by the plan, a call only where an order changes. Confined to the event loop. */
final class AutoscalingDuty implements DutyRunner.Duty {
  private static final Logger log = LoggerFactory.getLogger(AutoscalingDuty.class);

  /** Part of a cheap endpoint's time that should be busy, low enough for first tokens on time. */
  private static final double TARGET_USE = 0.5;

  /** The same for lasting endpoints, which cost several times as much. */
  private static final double LASTING_USE = 0.85;

  /** How long a new holder of the duty keeps what is there, until it has seen the demand. */
  private static final long LEARN_MILLIS = 8_000;

  /** How many cheap endpoints are ordered until then for each one that was there. */
  private static final double UNKNOWN_DEMAND = 1.33;

  /** How long a domain without reclaimable endpoints is not asked again. */
  private static final long DRY_MILLIS = 3_000;

  /** How long after a reclaim further ones are expected, by the waves seen so far. */
  private static final long WAVE_MILLIS = 8_000;

  private static final long PLAN_INTERVAL_MILLIS = 150;

  /** Time beyond the boot time after which an order that shows no effect is given again. */
  private static final long EFFECT_MARGIN_MILLIS = 4_000;

  private final RelayState state;
  private final FleetView fleet;
  private final DutyClient calls;
  private final String self;
  private final EndpointPlan plan = EndpointPlan.create();
  private final Map<String, DemandMeter> meters = new HashMap<>();
  private final Map<String, Learner> learners = new HashMap<>();
  private final Map<Subject, Standing> standing = new HashMap<>();
  private final Map<Subject, Long> dryUntil = new HashMap<>();
  private final Map<Subject, Integer> lastSeen = new HashMap<>();
  private long nextPlanMillis;
  private long waveUntilMillis;

  AutoscalingDuty(RelayState state, FleetView fleet, DutyClient calls, String self) {
    this.state = state;
    this.fleet = fleet;
    this.calls = calls;
    this.self = self;
  }

  /** Measures the demand, so that a daemon that takes the duty over knows it at once. */
  @Override
  public void observe() {
    if (state.config().isEmpty()) {
      return;
    }
    for (ServiceRule service : state.config().get().services()) {
      if (service.scaling().isPresent()) {
        meter(service.name()).sample(totals(service.name()));
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
    for (ServiceRule service : state.config().get().services()) {
      Optional<ScalingRule> rule = service.scaling();
      if (rule.isPresent()) {
        plan(service.name(), rule.get(), fencing, now);
      }
    }
  }

  @Override
  public void onLeaseLost() {
    standing.clear();
    learners.clear();
  }

  /** Returns how many endpoints are kept until the demand has been seen for a while. */
  private int learning(
      String service, Map<String, DomainState> states, DemandMeter meter, long now) {
    Learner learner = learners.computeIfAbsent(service, name -> new Learner());
    if (learner.untilMillis == 0) {
      int lasting = 0;
      int reclaimable = 0;
      for (DomainState domain : states.values()) {
        lasting += domain.lasting();
        reclaimable += domain.reclaimable();
      }
      // Reclaimable ones count only as found: those that come later stand for lasting ones.
      learner.found = learner.found < 0 ? reclaimable : learner.found;
      learner.floor = Math.max(learner.floor, learner.found + lasting);
      if (meter.busyEndpoints() > 0) {
        learner.untilMillis = now + LEARN_MILLIS;
      }
    }
    return learner.untilMillis == 0 || now < learner.untilMillis ? learner.floor : 0;
  }

  private void plan(String service, ScalingRule rule, long fencing, long now) {
    DemandMeter meter = meter(service);
    Map<String, DomainState> states = states(service, rule, now);
    double busy = meter.busyEndpoints();
    int floor = learning(service, states, meter, now);
    int unknown = (int) Math.ceil(UNKNOWN_DEMAND * floor);
    int wanted = Math.max(unknown, (int) Math.ceil(busy / TARGET_USE));
    int required = Math.max(floor, (int) Math.ceil(busy / LASTING_USE));
    Need need = new Need(wanted, required, now < waveUntilMillis);
    List<EndpointOrder> orders = plan.orders(service, rule, need, states);
    for (EndpointOrder order : orders) {
      give(order, seen(order, states), rule, fencing, now, meter.busyEndpoints());
    }
  }

  private Map<String, DemandMeter.Total> totals(String service) {
    Map<String, DemandMeter.Total> totals = new HashMap<>();
    for (DaemonReport report : fleet.live()) {
      double work = report.work().getOrDefault(service, 0.0);
      totals.put(
          report.daemon() + '/' + report.life(),
          new DemandMeter.Total(work, report.atStoreMillis()));
    }
    return totals;
  }

  private Map<String, DomainState> states(String service, ScalingRule rule, long now) {
    Map<String, int[]> counts = new HashMap<>();
    rule.domainPrices().keySet().forEach(domain -> counts.put(domain, new int[2]));
    for (TrackedEndpoint endpoint : state.endpoints().forService(service)) {
      RegisteredEndpoint registration = endpoint.registration();
      Subject subject = new Subject(service, registration.domain(), registration.reclaimable());
      boolean notice = registration.leaving() && registration.leavesInMillis() >= 0;
      if (notice && registration.reclaimable()) {
        reclaimed(subject, now);
      }
      int[] kinds = counts.get(registration.domain());
      if (kinds != null && endpoint.isUsable(now)) {
        kinds[registration.reclaimable() ? 1 : 0]++;
      }
    }
    Map<String, DomainState> states = new HashMap<>();
    counts.forEach(
        (domain, kinds) -> {
          noteVanished(new Subject(service, domain, true), kinds[1], now);
          long dry = dryUntil.getOrDefault(new Subject(service, domain, true), 0L);
          boolean sold = rule.reclaimablePrice() < 1;
          Standing lasting = standing.get(new Subject(service, domain, false));
          int ordered = lasting == null ? 0 : lasting.count;
          states.put(
              domain, new DomainState(Math.max(kinds[0], ordered), kinds[1], sold && now >= dry));
        });
    return states;
  }

  /** A notice concerns all reclaimable endpoints of the domain, and no new ones are to be had. */
  private void reclaimed(Subject subject, long now) {
    dryUntil.merge(subject, now + DRY_MILLIS, Math::max);
    standing.remove(subject);
    lastSeen.remove(subject);
    waveUntilMillis = now + WAVE_MILLIS;
  }

  /** Some notices show only in that all reclaimable endpoints of a domain vanish at once. */
  private void noteVanished(Subject subject, int seen, long now) {
    Integer before = lastSeen.put(subject, seen);
    Standing order = standing.get(subject);
    boolean wanted = order == null || order.count > 0;
    if (before != null && before > 0 && seen == 0 && wanted) {
      reclaimed(subject, now);
    }
  }

  private static int seen(EndpointOrder order, Map<String, DomainState> states) {
    DomainState domain = states.get(order.domain());
    return order.reclaimable() ? domain.reclaimable() : domain.lasting();
  }

  private void give(
      EndpointOrder order, int seen, ScalingRule rule, long fencing, long now, double busy) {
    Subject subject = new Subject(order.service(), order.domain(), order.reclaimable());
    Standing last = standing.get(subject);
    if (last != null && last.count == order.count()) {
      boolean late = now - last.atMillis > rule.bootMillis() + EFFECT_MARGIN_MILLIS;
      if (seen == order.count() || !late) {
        return;
      }
    }
    if (last == null && seen == order.count()) {
      return;
    }
    standing.put(subject, new Standing(order.count(), now));
    log.atInfo()
        .addKeyValue("service", order.service())
        .addKeyValue("domain", order.domain())
        .addKeyValue("reclaimable", order.reclaimable())
        .addKeyValue("count", order.count())
        .addKeyValue("seen", seen)
        .addKeyValue("busy", busy)
        .addKeyValue("fencing", fencing)
        .log("endpoints ordered");
    calls
        .order(self, fencing, order)
        .whenComplete((outcome, failure) -> ordered(subject, order, outcome, failure));
  }

  private void ordered(
      Subject subject, EndpointOrder order, DutyClient.Outcome outcome, Throwable failure) {
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
    standing.remove(subject);
    if (outcome == DutyClient.Outcome.NONE_AVAILABLE && order.reclaimable()) {
      dryUntil.put(subject, state.clock().millis() + DRY_MILLIS);
    }
  }

  /** Keeps what a new holder found until it has seen the demand. */
  private static final class Learner {
    private int found = -1;
    private int floor;
    private long untilMillis;
  }

  private record Subject(String service, String domain, boolean reclaimable) {}

  private record Standing(int count, long atMillis) {}
}
