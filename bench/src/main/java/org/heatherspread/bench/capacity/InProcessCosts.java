package org.heatherspread.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import org.heatherspread.bench.membership.ExchangeCost;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.limit.LimitUsage;
import org.heatherspread.core.limit.LimitUsageReport;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.limit.ResourceAmounts;
import org.heatherspread.core.membership.MembershipCore;
import org.heatherspread.core.membership.MembershipSettings;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.OwnerTable;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.routing.CostRouter;
import org.heatherspread.core.routing.EndpointProfile;
import org.heatherspread.core.routing.EndpointRegistry;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.LoadedModels;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.RoutingRequest;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.core.routing.RoutingWeights;
import org.heatherspread.core.time.ManualClock;

/**
 * Measures costs of the membership, record, limit and routing logic within this process at several
 * sizes. Stateless.
 */
final class InProcessCosts {
  private static final double DESIGN_DAEMONS = 880;
  private static final double DESIGN_INSTANCES = 12_880;
  private static final double DESIGN_REGION_ENDPOINTS = 1_333;
  private static final double DESIGN_ACCOUNTS = 5;
  private static final Duration USAGE_INTERVAL = Duration.ofMillis(500);
  private static final double DESIGN_RECORDS = 21_000;
  private static final double BYTES_PER_SECOND_BUDGET = 20_000;
  private static final double CORE_BUDGET_PERCENT = 2.4;
  private static final double MEMORY_BUDGET_BYTES = 256e6;
  private static final double DECISION_BUDGET_MICROS = 20;
  private static final int DECISION_WARM_UP = 20_000;
  private static final int MEASURED_DECISIONS = 40_000;
  private static final int EXCHANGE_ENDPOINTS = 64;
  private static final int RESPONSE_BYTES = 200;
  private static final long NOW_MILLIS = 1_000_000;

  private InProcessCosts() {}

  static List<CostMeasurement> measureAll(long seed) {
    List<CostMeasurement> costs = new ArrayList<>(measureExchange(seed));
    costs.add(
        measureCost(
            "membership state, heap bytes",
            "instances",
            new double[] {1_000, 4_000, 12_880},
            InProcessCosts::membershipHeapBytes,
            DESIGN_INSTANCES,
            MEMORY_BUDGET_BYTES));
    costs.add(
        measureCost(
            "records of calls not to repeat, heap bytes",
            "records",
            new double[] {1_000, 10_000, 50_000},
            InProcessCosts::recordHeapBytes,
            DESIGN_RECORDS,
            MEMORY_BUDGET_BYTES));
    costs.add(
        measureCost(
            "usage reports at 880 daemons, received bytes/s",
            "accounts",
            new double[] {5, 50, 500},
            accounts -> usageReportBytes(accounts) * usageReportsPerSecond(),
            DESIGN_ACCOUNTS,
            BYTES_PER_SECOND_BUDGET));
    costs.add(
        measureCost(
            "routing decision, us",
            "endpoints",
            new double[] {133, 667, 1_333},
            InProcessCosts::decisionMicros,
            DESIGN_REGION_ENDPOINTS,
            DECISION_BUDGET_MICROS));
    return costs;
  }

  private static CostMeasurement measureCost(
      String name,
      String sizeUnit,
      double[] sizes,
      IntToDoubleFunction measure,
      double designSize,
      double budget) {
    double[] values = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      System.out.printf("measuring %s at %.0f %s%n", name, sizes[i], sizeUnit);
      values[i] = measure.applyAsDouble((int) sizes[i]);
    }
    return new CostMeasurement(name, sizeUnit, sizes, values, designSize, budget);
  }

  private static List<CostMeasurement> measureExchange(long seed) {
    double[] sizes = {64, 256, 880};
    double[] bytes = new double[sizes.length];
    double[] core = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      System.out.printf("measuring the exchange at %.0f daemons%n", sizes[i]);
      ExchangeCost cost = ExchangeCost.measureSteadyState((int) sizes[i], EXCHANGE_ENDPOINTS, seed);
      bytes[i] = cost.bytesPerSecond();
      core[i] = cost.corePercent();
    }
    return List.of(
        new CostMeasurement(
            "exchange, sent and received bytes/s",
            "daemons",
            sizes,
            bytes,
            DESIGN_DAEMONS,
            BYTES_PER_SECOND_BUDGET),
        new CostMeasurement(
            "exchange, per cent of a core",
            "daemons",
            sizes,
            core,
            DESIGN_DAEMONS,
            CORE_BUDGET_PERCENT));
  }

  private static double membershipHeapBytes(int instances) {
    return RetainedHeap.measureBytes(
        () -> {
          ManualClock clock = ManualClock.create();
          MembershipCore core =
              MembershipCore.create(
                  instance("d-0", InstanceKind.DAEMON, 0),
                  MembershipSettings.defaults(),
                  CurrentConfiguration.create(),
                  clock,
                  clock,
                  new Random(1));
          List<Instance> list = new ArrayList<>();
          for (int i = 0; i < instances; i++) {
            InstanceKind kind = i % 15 == 0 ? InstanceKind.DAEMON : InstanceKind.ENGINE;
            list.add(instance("i-" + i, kind, i));
          }
          core.onInstanceList(1, list);
          core.tick();
          return List.of(core, core.snapshot());
        });
  }

  private static Instance instance(String id, InstanceKind kind, int index) {
    int domain = index % 34;
    return new Instance(
        id,
        1,
        kind,
        kind == InstanceKind.DAEMON ? "" : "assistant",
        new FailureDomain("region-" + domain % 9, "domain-" + domain),
        "10.0." + index / 250 + "." + index % 250,
        8_080,
        8_081,
        "gpu-2x",
        Market.RECLAIMABLE,
        1.25,
        InstanceState.LIVE,
        Optional.empty());
  }

  private static double recordHeapBytes(int records) {
    return RetainedHeap.measureBytes(
        () -> {
          ManualClock clock = ManualClock.create();
          DaemonRef self = new DaemonRef("daemon-1", 1);
          DaemonRef witness = new DaemonRef("daemon-2", 1);
          OwnerTable table = OwnerTable.create(self, clock, RecordLimits.defaults());
          Random random = new Random(1);
          for (int i = 0; i < records; i++) {
            RequestId id = RequestId.create(self, witness, random);
            CallDescriptor call =
                new CallDescriptor(id, "kadikoy", Long.toHexString(random.nextLong()), 60_000);
            table.begin(call);
            table.tryAcquireDispatch(id);
            CallResponse response = new CallResponse(200, List.of(), new byte[RESPONSE_BYTES]);
            table.finish(id, CallOutcome.answered(response));
          }
          return table;
        });
  }

  private static double usageReportsPerSecond() {
    Duration interval = ReportSchedule.of(USAGE_INTERVAL).interval((int) DESIGN_DAEMONS);
    return DESIGN_DAEMONS * 1_000 / interval.toMillis();
  }

  private static double usageReportBytes(int accounts) {
    Map<String, LimitUsage> usage = new HashMap<>();
    for (int i = 0; i < accounts; i++) {
      usage.put(
          "account-" + i,
          new LimitUsage(new ResourceAmounts(7, 3_000, 4), new ResourceAmounts(9, 4_000, 6)));
    }
    return new LimitUsageReport(1, usage).encode().length;
  }

  private static double decisionMicros(int endpoints) {
    PrefixIndex index = PrefixIndex.create(32 << 20, 600);
    List<EndpointProfile> profiles = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      FailureDomain domain = new FailureDomain("region", "d" + i % 4);
      profiles.add(new EndpointProfile("e" + i, 1, domain, "gpu", 1, 0.05, LoadedModels.unknown()));
    }
    Random setupRandom = new Random(7);
    List<EndpointView> views =
        EndpointRegistry.create(index, HealthPolicy.defaults()).update(profiles, NOW_MILLIS);
    for (EndpointView view : views) {
      view.applyReport(new LoadReport(NOW_MILLIS, setupRandom.nextInt(20), 0, 0, 0.5, 900, 9_000));
    }
    CostRouter router =
        CostRouter.create(RoutingWeights.costAtTarget(), HealthPolicy.defaults(), index);
    RoutingSnapshot snapshot = RoutingSnapshot.of(views);
    RoutingRequest[] requests = createRequests(index, endpoints, setupRandom);
    SplittableRandom random = new SplittableRandom(1);
    long start = 0;
    for (int i = -DECISION_WARM_UP; i < MEASURED_DECISIONS; i++) {
      if (i == 0) {
        start = System.nanoTime();
      }
      router.choose(snapshot, requests[Math.floorMod(i, requests.length)], NOW_MILLIS, random);
    }
    return (System.nanoTime() - start) / 1_000.0 / MEASURED_DECISIONS;
  }

  private static RoutingRequest[] createRequests(
      PrefixIndex index, int endpoints, Random setupRandom) {
    LatencyTarget target = new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33));
    RoutingRequest[] requests = new RoutingRequest[500];
    for (int p = 0; p < requests.length; p++) {
      long[] prompt = new long[64];
      Random shared = new Random(p % 50);
      for (int b = 0; b < prompt.length; b++) {
        prompt[b] = b < 32 ? shared.nextLong() : setupRandom.nextLong();
      }
      requests[p] = RoutingRequest.of(prompt, 4_096, 150, target);
      index.add(prompt, 62, setupRandom.nextInt(endpoints), NOW_MILLIS);
    }
    return requests;
  }
}
