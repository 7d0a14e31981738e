package org.heatherspread.bench.membership;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Change;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.membership.Health;

/**
 * Measures the propagation time of changes and the cost of the membership exchange in simulated
 * fleets of 8, 64, 256 and 880 daemons, and compares them with the bounds of the design. With
 * {@code --processes}, runs {@link StoreOutageScenario} with eight daemon processes instead.
 * Stateless.
 */
public final class MembershipBench {
  private static final int[] DAEMON_COUNTS = {8, 64, 256, 880};
  private static final int CHANGE_COUNT = 10;
  private static final double CONFIG_BOUND_MILLIS = 4_000;
  private static final double DAEMON_LEAVING_BOUND_MILLIS = 2_000;
  private static final double ENDPOINT_LEAVING_BOUND_MILLIS = 3_000;
  private static final double BYTES_PER_SECOND_BOUND = 20_000;
  private static final double CORE_PERCENT_BOUND = 2.4;
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration STEADY_STATE_DURATION = Duration.ofSeconds(60);
  private static final Duration PARTITION_DURATION = Duration.ofSeconds(60);
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(20);
  private static final int MIN_ENDPOINTS = 64;

  private MembershipBench() {}

  /** Runs the measurement; returns 0 if all bounds hold, otherwise 1. */
  public static int run(String[] args) throws Exception {
    List<String> arguments = Arrays.asList(args);
    int seedIndex = arguments.indexOf("--seed");
    long seed = seedIndex >= 0 ? Long.parseLong(arguments.get(seedIndex + 1)) : 1;
    ObjectNode result = new ObjectMapper().createObjectNode();
    if (arguments.contains("--processes")) {
      result.put("bench", "membership processes");
      boolean boundsHeld = StoreOutageScenario.run(result);
      System.out.println(result.put("bounds_held", boundsHeld));
      return boundsHeld ? 0 : 1;
    }
    result.put("bench", "membership").put("seed", seed);
    ArrayNode rows = result.putArray("sizes");
    System.out.printf(
        Locale.ROOT,
        "%7s %12s %12s %12s %10s %10s %11s %9s %9s %9s%n",
        "daemons",
        "config ms",
        "leaving ms",
        "endpoint ms",
        "msgs/s",
        "bytes/s",
        "us/exchange",
        "us/tick",
        "core %",
        "heal ms");
    boolean boundsHeld = true;
    for (int size : DAEMON_COUNTS) {
      SizeResult sizeResult = measure(size, seed);
      sizeResult.print();
      sizeResult.write(rows.addObject());
      boundsHeld &= sizeResult.withinBounds();
    }
    result.put("bounds_held", boundsHeld);
    System.out.println(
        "bounds: config 4000 ms, daemon leaving 2000 ms, endpoint leaving 3000 ms, sent and"
            + " received 20000 bytes/s, core 2.4 %, heal 4000 ms, no live daemon"
            + " suspect or dead after a partition");
    System.out.println(result);
    return boundsHeld ? 0 : 1;
  }

  private static SizeResult measure(int size, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(size, Math.max(MIN_ENDPOINTS, size), seed);
    SizeResult sizeResult = new SizeResult(size);
    fleet.run(WARM_UP);
    long version = 0;
    for (int i = 0; i < CHANGE_COUNT; i++) {
      version++;
      sizeResult.configMillis =
          Math.max(sizeResult.configMillis, measureConfigConvergence(fleet, version));
      sizeResult.endpointLeavingMillis =
          maxOrUnbounded(
              sizeResult.endpointLeavingMillis, measureNoticeConvergence(fleet, "e-" + i));
      sizeResult.leavingMillis =
          maxOrUnbounded(sizeResult.leavingMillis, measureLeavingConvergence(fleet, i));
    }
    measureSteadyState(fleet, sizeResult, version);
    version = fleet.daemons().get(0).config.get().version();
    sizeResult.healMillis = measurePartition(fleet, sizeResult, version + 1);
    return sizeResult;
  }

  private static double maxOrUnbounded(double previous, double measured) {
    return measured < 0 ? Double.MAX_VALUE : Math.max(previous, measured);
  }

  private static double measureConfigConvergence(SimulatedFleet fleet, long version) {
    applyAccountChange(fleet.randomDaemon(), version);
    return maxOrUnbounded(
        0,
        fleet.measureConvergenceMillis(
            d -> d.config.get().version() >= version, CONVERGENCE_TIMEOUT));
  }

  private static void applyAccountChange(SimulatedFleet.SimulatedDaemon daemon, long version) {
    AccountSpec account =
        new AccountSpec(
            "account-" + version % 5,
            "0".repeat(64),
            new AccountLimits(10, 1_000, 8),
            0,
            List.of());
    LogEntry entry =
        new LogEntry(
            version,
            "0123456789abcdef01234567",
            "operator",
            version,
            List.of(new Change.PutAccount(account)));
    daemon.config.offer(List.of(entry));
  }

  private static double measureNoticeConvergence(SimulatedFleet fleet, String id) {
    fleet.randomDaemon().core.onReclaimNotice(id, 1_000_000);
    return fleet.measureConvergenceMillis(d -> isLeaving(d, id), CONVERGENCE_TIMEOUT);
  }

  private static double measureLeavingConvergence(SimulatedFleet fleet, int index) {
    if (index >= fleet.daemons().size() / 2) {
      return 0;
    }
    SimulatedFleet.SimulatedDaemon daemon = fleet.daemons().get(index);
    daemon.core.announceLeaving(1_000_000);
    return fleet.measureConvergenceMillis(d -> isLeaving(d, daemon.self.id()), CONVERGENCE_TIMEOUT);
  }

  private static boolean isLeaving(SimulatedFleet.SimulatedDaemon daemon, String id) {
    return daemon.core.health(id).filter(h -> h == Health.LEAVING).isPresent();
  }

  /**
   * Measures traffic and CPU time under changes at the rate of the design: 6,500 configuration
   * changes a day, and at 880 daemons three times 2,340 reclaim notices a day, scaled to the size
   * of the fleet.
   */
  private static void measureSteadyState(
      SimulatedFleet fleet, SizeResult sizeResult, long version) {
    int size = sizeResult.size;
    double configIntervalSeconds = 86_400.0 / 6_500;
    double noticeIntervalSeconds = 86_400.0 / (2_340 * 3) * 880 / size;
    fleet.run(Duration.ofSeconds(3));
    fleet.traffic().reset();
    double nextConfig = configIntervalSeconds / 2;
    double nextNotice = noticeIntervalSeconds / 2;
    int endpointIndex = CHANGE_COUNT;
    for (int second = 0; second < STEADY_STATE_DURATION.toSeconds(); second++) {
      if (second >= nextConfig) {
        nextConfig += configIntervalSeconds;
        applyAccountChange(fleet.daemons().get(0), ++version);
      }
      if (second >= nextNotice && endpointIndex < size) {
        nextNotice += noticeIntervalSeconds;
        fleet.randomDaemon().core.onReclaimNotice("e-" + endpointIndex++, 1_000_000);
      }
      fleet.run(Duration.ofSeconds(1));
    }
    SimulatedFleet.TrafficCounters traffic = fleet.traffic();
    double daemonSeconds = size * (double) STEADY_STATE_DURATION.toSeconds();
    sizeResult.messagesPerSecond = 2 * traffic.messages / daemonSeconds;
    sizeResult.bytesPerSecond = 2 * traffic.bytes / daemonSeconds;
    sizeResult.exchangeMicros = traffic.handlingNanos / 1_000.0 / Math.max(1, traffic.exchanges);
    sizeResult.tickMicros = traffic.tickNanos / 1_000.0 / Math.max(1, traffic.ticks);
    double nanos = traffic.handlingNanos + traffic.tickNanos;
    sizeResult.corePercent = 100 * nanos / 1e9 / daemonSeconds;
  }

  /**
   * Isolates one region, applies a change on the other side, removes the partition, and returns the
   * time until the change has reached all daemons.
   */
  private static double measurePartition(
      SimulatedFleet fleet, SizeResult sizeResult, long version) {
    fleet.isolateRegion("region-0");
    fleet.run(Duration.ofSeconds(5));
    SimulatedFleet.SimulatedDaemon outside =
        fleet.daemons().stream()
            .filter(d -> !d.self.domain().region().equals("region-0"))
            .findFirst()
            .orElseThrow();
    applyAccountChange(outside, version);
    fleet.run(PARTITION_DURATION);
    fleet.isolateRegion("");
    double healMillis =
        fleet.measureConvergenceMillis(
            d -> d.config.get().version() >= version, CONVERGENCE_TIMEOUT);
    fleet.run(Duration.ofSeconds(60));
    for (SimulatedFleet.SimulatedDaemon daemon : fleet.daemons()) {
      for (SimulatedFleet.SimulatedDaemon other : fleet.daemons()) {
        Health health = daemon.core.health(other.self.id()).orElse(Health.DEAD);
        if (health == Health.DEAD || health == Health.SUSPECT) {
          sizeResult.notAliveAfterHeal++;
        }
      }
    }
    return healMillis < 0 ? Double.MAX_VALUE : healMillis;
  }

  /** The measurements for one fleet size. */
  private static final class SizeResult {
    private final int size;
    private double configMillis;
    private double leavingMillis;
    private double endpointLeavingMillis;
    private double messagesPerSecond;
    private double bytesPerSecond;
    private double exchangeMicros;
    private double tickMicros;
    private double corePercent;
    private double healMillis;
    private long notAliveAfterHeal;

    private SizeResult(int size) {
      this.size = size;
    }

    private boolean withinBounds() {
      return configMillis <= CONFIG_BOUND_MILLIS
          && leavingMillis <= DAEMON_LEAVING_BOUND_MILLIS
          && endpointLeavingMillis <= ENDPOINT_LEAVING_BOUND_MILLIS
          && bytesPerSecond <= BYTES_PER_SECOND_BOUND
          && corePercent <= CORE_PERCENT_BOUND
          && healMillis <= CONFIG_BOUND_MILLIS
          && notAliveAfterHeal == 0;
    }

    private void print() {
      System.out.printf(
          Locale.ROOT,
          "%7d %12.0f %12.0f %12.0f %10.1f %10.0f %11.1f %9.2f %9.3f %9.0f%s%n",
          size,
          configMillis,
          leavingMillis,
          endpointLeavingMillis,
          messagesPerSecond,
          bytesPerSecond,
          exchangeMicros,
          tickMicros,
          corePercent,
          healMillis,
          notAliveAfterHeal == 0 ? "" : "  not alive after healing: " + notAliveAfterHeal);
    }

    private void write(ObjectNode out) {
      out.put("daemons", size)
          .put("config_ms", configMillis)
          .put("daemon_leaving_ms", leavingMillis)
          .put("endpoint_leaving_ms", endpointLeavingMillis)
          .put("messages_per_second", messagesPerSecond)
          .put("bytes_per_second", bytesPerSecond)
          .put("us_per_exchange", exchangeMicros)
          .put("us_per_tick", tickMicros)
          .put("core_percent", corePercent)
          .put("heal_ms", healMillis)
          .put("not_alive_after_heal", notAliveAfterHeal);
    }
  }
}
