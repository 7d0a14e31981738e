package org.heatherspread.bench.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.DispatchOutcome;
import org.heatherspread.core.routing.EndpointProfile;
import org.heatherspread.core.routing.EndpointRegistry;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.LoadedModels;
import org.heatherspread.core.routing.PrefixIndex;

/**
 * Runs several modelled daemons, each with its own policy and stale view, over modelled engines in
 * simulated time. Reports and cache events arrive late, and some cache events never do. Runs once.
 *
 * <p>Not safe for use by several threads.
 */
final class Simulation {
  static final double FIRST_TOKEN_MILLIS = 520;
  static final double INTERVAL_MILLIS = 33;

  private static final int DAEMONS = 8;
  private static final double REPORT_INTERVAL_MILLIS = 1_000;
  private static final double REPORT_LAG_MILLIS = 500;
  private static final double EVENT_LAG_MILLIS = 1_000;
  private static final double POLL_LOSS = 0.01;
  private static final double HOP_MILLIS = 1;
  private static final int ON_DEMAND_EVERY = 5;
  private static final double RECLAIMABLE_PRICE = 0.40;
  private static final double ON_DEMAND_PRICE = 1.00;

  /** Something that happens at a moment. */
  private record Event(double at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final List<SimRequest> requests;
  private final double durationMillis;
  private final Random random;
  private final List<EngineModel> engines = new ArrayList<>();
  private final boolean[] stepping;
  private final List<List<EndpointView>> views = new ArrayList<>();
  private final List<Policy> policies = new ArrayList<>();
  private final Map<SimRequest, Dispatch> open = new IdentityHashMap<>();
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private double pricePerHour;
  private double now;
  private long order;

  Simulation(
      int endpoints,
      EngineSpec spec,
      List<SimRequest> requests,
      double durationMillis,
      Policy.Factory factory,
      long seed) {
    this.requests = requests.stream().map(SimRequest::copy).toList();
    this.durationMillis = durationMillis;
    this.random = new Random(seed);
    this.stepping = new boolean[endpoints];
    Set<Long> everComputed = new HashSet<>();
    for (int i = 0; i < endpoints; i++) {
      engines.add(new EngineModel(spec, everComputed));
      pricePerHour += price(i);
    }
    for (int d = 0; d < DAEMONS; d++) {
      List<EndpointView> own = views(endpoints);
      views.add(own);
      policies.add(factory.create(own, new Random(seed * 31 + d)));
    }
  }

  private static double price(int endpoint) {
    return endpoint % ON_DEMAND_EVERY == 0 ? ON_DEMAND_PRICE : RECLAIMABLE_PRICE;
  }

  private static List<EndpointView> views(int endpoints) {
    PrefixIndex unused = PrefixIndex.create(0, 1);
    List<EndpointProfile> profiles = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      FailureDomain domain = new FailureDomain("region", "domain-" + i % 4);
      double reclaims = i % ON_DEMAND_EVERY == 0 ? 0 : 0.05;
      profiles.add(
          new EndpointProfile(
              "e" + i, 1, domain, "gpu", price(i), reclaims, LoadedModels.unknown()));
    }
    return EndpointRegistry.create(unused, HealthPolicy.defaults()).update(profiles, 0);
  }

  Outcome run() {
    for (SimRequest request : requests) {
      at(request.arrivalMillis, () -> arrive(request));
    }
    for (int i = 0; i < engines.size(); i++) {
      int engine = i;
      at(random.nextDouble() * REPORT_INTERVAL_MILLIS, () -> publish(engine));
    }
    double stop = durationMillis + 20_000;
    while (!queue.isEmpty() && queue.peek().at() <= stop) {
      Event event = queue.poll();
      now = event.at();
      event.action().run();
    }
    return outcome();
  }

  private void at(double time, Runnable action) {
    queue.add(new Event(time, order++, action));
  }

  private void arrive(SimRequest request) {
    int daemon = random.nextInt(DAEMONS);
    Dispatch dispatch = policies.get(daemon).send(request, now);
    if (dispatch == null) {
      request.rejected = true;
      return;
    }
    open.put(request, dispatch);
    int engine = dispatch.endpoint().slot();
    at(now + HOP_MILLIS, () -> submit(engine, request));
  }

  private void submit(int engine, SimRequest request) {
    engines.get(engine).submit(request);
    if (!stepping[engine]) {
      step(engine);
    }
  }

  private void step(int engine) {
    EngineModel model = engines.get(engine);
    stepping[engine] = !model.idle();
    if (stepping[engine]) {
      at(now + model.beginStep(), () -> stepped(engine));
    }
  }

  private void stepped(int engine) {
    EngineModel model = engines.get(engine);
    model.endStep(now);
    for (SimRequest request : model.takeFirstTokens()) {
      open.get(request).recordFirstToken((long) now);
    }
    for (SimRequest request : model.takeEnded()) {
      open.remove(request).recordEnd(DispatchOutcome.ANSWERED, (long) now);
    }
    step(engine);
  }

  private void publish(int engine) {
    LoadReport report = engines.get(engine).report(now);
    List<CacheEvent> events = engines.get(engine).takeEvents();
    for (int d = 0; d < DAEMONS; d++) {
      int daemon = d;
      at(now + REPORT_LAG_MILLIS, () -> views.get(daemon).get(engine).applyReport(report));
      if (random.nextDouble() < POLL_LOSS) {
        continue;
      }
      double lag = EVENT_LAG_MILLIS * (0.5 + random.nextDouble());
      at(now + lag, () -> policies.get(daemon).events(engine, events, now));
    }
    at(now + REPORT_INTERVAL_MILLIS, () -> publish(engine));
  }

  private Outcome outcome() {
    int inTarget = 0;
    int rejected = 0;
    int[] good = new int[5];
    int[] all = new int[5];
    for (SimRequest request : requests) {
      all[request.account]++;
      rejected += request.rejected ? 1 : 0;
      if (request.inTarget(FIRST_TOKEN_MILLIS, INTERVAL_MILLIS)) {
        inTarget++;
        good[request.account]++;
      }
    }
    long recomputed = 0;
    long computed = 0;
    for (EngineModel engine : engines) {
      recomputed += engine.recomputedTokens();
      computed += engine.computedTokens();
    }
    return new Outcome(
        engines.size(),
        pricePerHour,
        durationMillis,
        requests.size(),
        inTarget,
        rejected,
        recomputed,
        computed,
        jain(good, all));
  }

  private static double jain(int[] good, int[] all) {
    double sum = 0;
    double squares = 0;
    for (int i = 0; i < good.length; i++) {
      double share = all[i] == 0 ? 1 : (double) good[i] / all[i];
      sum += share;
      squares += share * share;
    }
    return squares == 0 ? 0 : sum * sum / (good.length * squares);
  }
}
