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
 * Simulates several daemons, each with its own policy and stale view of the endpoints, in front of
 * {@link SimulatedEngine}s. Load reports and cache events arrive with a delay, and some cache
 * events are lost. Deterministic for a seed; an object runs once.
 *
 * <p>Not thread-safe.
 */
final class RoutingSimulation {
  static final double FIRST_TOKEN_TARGET_MILLIS = 520;
  static final double INTER_TOKEN_TARGET_MILLIS = 33;

  private static final int DAEMON_COUNT = 8;
  private static final double REPORT_INTERVAL_MILLIS = 1_000;
  private static final double REPORT_LAG_MILLIS = 500;
  private static final double EVENT_LAG_MILLIS = 1_000;
  private static final double POLL_LOSS_PROBABILITY = 0.01;
  private static final double NETWORK_LATENCY_MILLIS = 1;
  private static final int ENDPOINTS_PER_ON_DEMAND = 5;
  private static final double RECLAIMABLE_PRICE_PER_HOUR = 0.40;
  private static final double ON_DEMAND_PRICE_PER_HOUR = 1.00;

  /** An action at a point in simulated time; the sequence number orders simultaneous events. */
  private record Event(double atMillis, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final List<SimulatedRequest> requests;
  private final double durationMillis;
  private final Random random;
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final boolean[] stepInProgress;
  private final List<List<EndpointView>> views = new ArrayList<>();
  private final List<RoutingPolicy> policies = new ArrayList<>();
  private final Map<SimulatedRequest, Dispatch> inFlight = new IdentityHashMap<>();
  private final PriorityQueue<Event> eventQueue = new PriorityQueue<>();
  private double pricePerHour;
  private double nowMillis;
  private long sequence;

  RoutingSimulation(
      int endpoints,
      EngineParameters parameters,
      List<SimulatedRequest> requests,
      double durationMillis,
      RoutingPolicy.Factory factory,
      long seed) {
    this.requests = requests.stream().map(SimulatedRequest::copy).toList();
    this.durationMillis = durationMillis;
    this.random = new Random(seed);
    this.stepInProgress = new boolean[endpoints];
    Set<Long> previouslyComputedBlocks = new HashSet<>();
    for (int i = 0; i < endpoints; i++) {
      engines.add(new SimulatedEngine(parameters, previouslyComputedBlocks));
      pricePerHour += pricePerHour(i);
    }
    for (int d = 0; d < DAEMON_COUNT; d++) {
      List<EndpointView> daemonViews = createViews(endpoints);
      views.add(daemonViews);
      policies.add(factory.create(daemonViews, new Random(seed * 31 + d)));
    }
  }

  private static double pricePerHour(int endpoint) {
    return endpoint % ENDPOINTS_PER_ON_DEMAND == 0
        ? ON_DEMAND_PRICE_PER_HOUR
        : RECLAIMABLE_PRICE_PER_HOUR;
  }

  private static List<EndpointView> createViews(int endpoints) {
    PrefixIndex unusedIndex = PrefixIndex.create(0, 1);
    List<EndpointProfile> profiles = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      FailureDomain domain = new FailureDomain("region", "domain-" + i % 4);
      double reclaimsPerHour = i % ENDPOINTS_PER_ON_DEMAND == 0 ? 0 : 0.05;
      profiles.add(
          new EndpointProfile(
              "e" + i, 1, domain, "gpu", pricePerHour(i), reclaimsPerHour, LoadedModels.unknown()));
    }
    return EndpointRegistry.create(unusedIndex, HealthPolicy.defaults()).update(profiles, 0);
  }

  SimulationResult run() {
    for (SimulatedRequest request : requests) {
      schedule(request.arrivalMillis, () -> onArrival(request));
    }
    for (int i = 0; i < engines.size(); i++) {
      int engine = i;
      schedule(random.nextDouble() * REPORT_INTERVAL_MILLIS, () -> publishTelemetry(engine));
    }
    // Requests that arrive last have 20 s to complete.
    double stopMillis = durationMillis + 20_000;
    while (!eventQueue.isEmpty() && eventQueue.peek().atMillis() <= stopMillis) {
      Event event = eventQueue.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return createResult();
  }

  private void schedule(double atMillis, Runnable action) {
    eventQueue.add(new Event(atMillis, sequence++, action));
  }

  private void onArrival(SimulatedRequest request) {
    int daemon = random.nextInt(DAEMON_COUNT);
    Dispatch dispatch = policies.get(daemon).route(request, nowMillis);
    if (dispatch == null) {
      request.rejected = true;
      return;
    }
    inFlight.put(request, dispatch);
    int engine = dispatch.endpoint().slot();
    schedule(nowMillis + NETWORK_LATENCY_MILLIS, () -> submit(engine, request));
  }

  private void submit(int engine, SimulatedRequest request) {
    engines.get(engine).submit(request);
    if (!stepInProgress[engine]) {
      advance(engine);
    }
  }

  private void advance(int engine) {
    SimulatedEngine simulatedEngine = engines.get(engine);
    stepInProgress[engine] = !simulatedEngine.isIdle();
    if (stepInProgress[engine]) {
      schedule(nowMillis + simulatedEngine.startStep(), () -> onStepCompleted(engine));
    }
  }

  private void onStepCompleted(int engine) {
    SimulatedEngine simulatedEngine = engines.get(engine);
    simulatedEngine.completeStep(nowMillis);
    for (SimulatedRequest request : simulatedEngine.drainFirstTokenRequests()) {
      inFlight.get(request).recordFirstToken((long) nowMillis);
    }
    for (SimulatedRequest request : simulatedEngine.drainCompletedRequests()) {
      inFlight.remove(request).recordEnd(DispatchOutcome.ANSWERED, (long) nowMillis);
    }
    advance(engine);
  }

  private void publishTelemetry(int engine) {
    LoadReport report = engines.get(engine).createLoadReport(nowMillis);
    List<CacheEvent> events = engines.get(engine).drainCacheEvents();
    for (int d = 0; d < DAEMON_COUNT; d++) {
      int daemon = d;
      schedule(
          nowMillis + REPORT_LAG_MILLIS, () -> views.get(daemon).get(engine).applyReport(report));
      if (random.nextDouble() < POLL_LOSS_PROBABILITY) {
        continue;
      }
      double lagMillis = EVENT_LAG_MILLIS * (0.5 + random.nextDouble());
      schedule(
          nowMillis + lagMillis,
          () -> policies.get(daemon).onCacheEvents(engine, events, nowMillis));
    }
    schedule(nowMillis + REPORT_INTERVAL_MILLIS, () -> publishTelemetry(engine));
  }

  private SimulationResult createResult() {
    int answersInTarget = 0;
    int rejected = 0;
    int[] inTargetByAccount = new int[5];
    int[] totalByAccount = new int[5];
    for (SimulatedRequest request : requests) {
      totalByAccount[request.account]++;
      rejected += request.rejected ? 1 : 0;
      if (request.meetsTarget(FIRST_TOKEN_TARGET_MILLIS, INTER_TOKEN_TARGET_MILLIS)) {
        answersInTarget++;
        inTargetByAccount[request.account]++;
      }
    }
    long recomputed = 0;
    long computed = 0;
    for (SimulatedEngine engine : engines) {
      recomputed += engine.recomputedTokens();
      computed += engine.computedTokens();
    }
    return new SimulationResult(
        engines.size(),
        pricePerHour,
        durationMillis,
        requests.size(),
        answersInTarget,
        rejected,
        recomputed,
        computed,
        jainIndex(inTargetByAccount, totalByAccount));
  }

  private static double jainIndex(int[] inTargetByAccount, int[] totalByAccount) {
    double sum = 0;
    double sumOfSquares = 0;
    for (int i = 0; i < inTargetByAccount.length; i++) {
      double share = totalByAccount[i] == 0 ? 1 : (double) inTargetByAccount[i] / totalByAccount[i];
      sum += share;
      sumOfSquares += share * share;
    }
    return sumOfSquares == 0 ? 0 : sum * sum / (inTargetByAccount.length * sumOfSquares);
  }
}
