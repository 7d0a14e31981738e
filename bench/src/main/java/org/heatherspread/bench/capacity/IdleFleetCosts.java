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
 * Measures CPU time and resident memory of a daemon and the load on the table service in fleets of
 * daemon processes that serve no requests.
 *
 * <p>Stateless.
 */
final class IdleFleetCosts {
  private static final int[] DAEMON_COUNTS = {2, 4, 8};
  private static final int DOMAIN_COUNT = 4;
  private static final long WARM_UP_MILLIS = 45_000;
  private static final long MEASUREMENT_MILLIS = 20_000;
  private static final double DESIGN_DAEMONS = 880;
  private static final double CORE_BUDGET_PERCENT = 2.4;
  private static final double MEMORY_BUDGET_BYTES = 256e6;
  private static final double READS_PER_SECOND_BUDGET = 2_000;
  private static final double WRITES_PER_SECOND_BUDGET = 300;

  private IdleFleetCosts() {}

  static List<CostMeasurement> measureAll() throws IOException {
    double[] sizes = new double[DAEMON_COUNTS.length];
    double[] core = new double[DAEMON_COUNTS.length];
    double[] memory = new double[DAEMON_COUNTS.length];
    double[] reads = new double[DAEMON_COUNTS.length];
    double[] writes = new double[DAEMON_COUNTS.length];
    for (int i = 0; i < DAEMON_COUNTS.length; i++) {
      System.out.println("measuring an idle fleet of " + DAEMON_COUNTS[i] + " daemons");
      IdleUsage usage = measure(DAEMON_COUNTS[i]);
      sizes[i] = DAEMON_COUNTS[i];
      core[i] = usage.cpu;
      memory[i] = usage.residentBytes;
      reads[i] = usage.tableReads;
      writes[i] = usage.tableWrites;
    }
    return List.of(
        new CostMeasurement(
            "idle daemon, per cent of a core", "daemons", sizes, core, 8, CORE_BUDGET_PERCENT),
        new CostMeasurement(
            "idle daemon, resident bytes", "daemons", sizes, memory, 8, MEMORY_BUDGET_BYTES),
        new CostMeasurement(
            "table service, reads/s",
            "daemons",
            sizes,
            reads,
            DESIGN_DAEMONS,
            READS_PER_SECOND_BUDGET),
        new CostMeasurement(
            "table service, writes/s",
            "daemons",
            sizes,
            writes,
            DESIGN_DAEMONS,
            WRITES_PER_SECOND_BUDGET));
  }

  private static IdleUsage measure(int daemons) throws IOException {
    Path directory = Files.createTempDirectory("heatherspread-capacity");
    try (ProcessGroup group = ProcessGroup.create(directory)) {
      FleetLayout layout = new FleetLayout(daemons, 2, 1, DOMAIN_COUNT, "");
      LocalFleet fleet =
          LocalFleet.create(Deployment.patikoop(), layout, group, "c" + daemons + "-");
      fleet.startEndpoints();
      fleet.startDaemons();
      fleet.configure();
      pause(WARM_UP_MILLIS);
      IdleUsage before = readTotals(fleet);
      pause(MEASUREMENT_MILLIS);
      return readTotals(fleet).ratesSince(before, daemons, MEASUREMENT_MILLIS / 1_000.0);
    }
  }

  private static IdleUsage readTotals(LocalFleet fleet) throws IOException {
    double cpuSeconds = 0;
    double meanResidentBytes = 0;
    List<FleetInstance> daemons = new ArrayList<>(fleet.instances("daemon"));
    for (FleetInstance daemon : daemons) {
      cpuSeconds += daemon.process().cpuSeconds();
      meanResidentBytes += daemon.process().residentBytes() / (double) daemons.size();
    }
    JsonNode counters =
        JsonHttpClient.mapper()
            .readTree(
                JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "").body());
    return new IdleUsage(
        cpuSeconds,
        meanResidentBytes,
        counters.path("reads").asDouble(),
        counters.path("writes").asDouble());
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Resource usage of an idle fleet.
   *
   * @param cpu CPU seconds of all daemons; as a rate, percent of a core for each daemon
   * @param residentBytes mean resident memory of a daemon
   * @param tableReads reads of the table service; as a rate, per second
   * @param tableWrites writes to the table service; as a rate, per second
   */
  private record IdleUsage(
      double cpu, double residentBytes, double tableReads, double tableWrites) {
    /** Returns the rates since an earlier reading; resident memory is that of this reading. */
    IdleUsage ratesSince(IdleUsage before, int daemons, double seconds) {
      return new IdleUsage(
          100 * (cpu - before.cpu) / daemons / seconds,
          residentBytes,
          (tableReads - before.tableReads) / seconds,
          (tableWrites - before.tableWrites) / seconds);
    }
  }
}
