package org.heatherspread.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.bench.process.FleetInstance;
import org.heatherspread.bench.process.FleetLayout;
import org.heatherspread.bench.process.JsonHttpClient;
import org.heatherspread.bench.process.LocalFleet;
import org.heatherspread.bench.process.ProcessGroup;

/**
 * Costs of control in fleets of real processes without any request: processor time and resident
 * memory of a daemon, and accesses to the table service.
 *
 * <p>Stateless.
 */
final class FleetCosts {
  private static final int[] SIZES = {2, 4, 8};
  private static final int DOMAINS = 4;
  private static final long WARM_UP_MILLIS = 45_000;
  private static final long MEASURED_MILLIS = 20_000;
  private static final double DAEMONS = 880;
  private static final double CORE_BUDGET_PERCENT = 2.4;
  private static final double MEMORY_BUDGET = 256e6;
  private static final double READS_BUDGET = 2_000;
  private static final double WRITES_BUDGET = 300;

  private FleetCosts() {}

  static List<RoleCost> all() throws IOException {
    double[] sizes = new double[SIZES.length];
    double[] core = new double[SIZES.length];
    double[] memory = new double[SIZES.length];
    double[] reads = new double[SIZES.length];
    double[] writes = new double[SIZES.length];
    for (int i = 0; i < SIZES.length; i++) {
      System.out.println("measuring an idle fleet of " + SIZES[i] + " daemons");
      Idle idle = measure(SIZES[i]);
      sizes[i] = SIZES[i];
      core[i] = idle.corePercent;
      memory[i] = idle.residentBytes;
      reads[i] = idle.readsPerSecond;
      writes[i] = idle.writesPerSecond;
    }
    return List.of(
        new RoleCost(
            "idle daemon, per cent of a core", "daemons", sizes, core, 8, CORE_BUDGET_PERCENT),
        new RoleCost("idle daemon, resident bytes", "daemons", sizes, memory, 8, MEMORY_BUDGET),
        new RoleCost("table service, reads/s", "daemons", sizes, reads, DAEMONS, READS_BUDGET),
        new RoleCost("table service, writes/s", "daemons", sizes, writes, DAEMONS, WRITES_BUDGET));
  }

  private static Idle measure(int daemons) throws IOException {
    Path dir = Files.createTempDirectory("heatherspread-capacity");
    try (ProcessGroup group = ProcessGroup.create(dir)) {
      FleetLayout layout = new FleetLayout(daemons, 2, 1, DOMAINS, "");
      LocalFleet fleet =
          LocalFleet.create(Deployment.patikoop(), layout, group, "c" + daemons + "-");
      fleet.startEndpoints();
      fleet.startDaemons();
      fleet.configure();
      pause(WARM_UP_MILLIS);
      Idle before = totals(fleet);
      pause(MEASURED_MILLIS);
      return totals(fleet).since(before, daemons, MEASURED_MILLIS / 1_000.0);
    }
  }

  private static Idle totals(LocalFleet fleet) throws IOException {
    double seconds = 0;
    double resident = 0;
    List<FleetInstance> daemons = new ArrayList<>(fleet.instances("daemon"));
    for (FleetInstance daemon : daemons) {
      seconds += daemon.process().cpuSeconds();
      resident += daemon.process().residentBytes() / (double) daemons.size();
    }
    JsonNode counters =
        JsonHttpClient.mapper()
            .readTree(
                JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "").body());
    return new Idle(
        seconds, resident, counters.path("reads").asDouble(), counters.path("writes").asDouble());
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** What an idle fleet used, in total or for one daemon and second. */
  private record Idle(
      double corePercent, double residentBytes, double readsPerSecond, double writesPerSecond) {
    Idle since(Idle before, int daemons, double seconds) {
      return new Idle(
          100 * (corePercent - before.corePercent) / daemons / seconds,
          residentBytes,
          (readsPerSecond - before.readsPerSecond) / seconds,
          (writesPerSecond - before.writesPerSecond) / seconds);
    }
  }
}
