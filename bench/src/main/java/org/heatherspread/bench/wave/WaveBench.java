package org.heatherspread.bench.wave;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.heatherspread.bench.caller.CallGenerator;
import org.heatherspread.bench.caller.CallReport;
import org.heatherspread.bench.caller.CallSpec;
import org.heatherspread.bench.caller.Caller;
import org.heatherspread.bench.caller.CheckResult;
import org.heatherspread.bench.caller.DirectCaller;
import org.heatherspread.bench.caller.ExecutionLogReader;
import org.heatherspread.bench.caller.InvariantChecker;
import org.heatherspread.bench.caller.OpenLoopLoadGenerator;
import org.heatherspread.bench.caller.RoutedCaller;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.bench.process.FleetInstance;
import org.heatherspread.bench.process.FleetLayout;
import org.heatherspread.bench.process.JsonHttpClient;
import org.heatherspread.bench.process.LocalFleet;
import org.heatherspread.bench.process.ProcessGroup;

/**
 * A reclaim wave over real processes: 8 daemons, 10 model engines and 4 plain services in four
 * failure domains under load; one whole domain ends five seconds after its notice, and one of its
 * daemons already dies halfway through its handover. Then the same mix and wave with plain retrying
 * callers straight to equal endpoints, as the baseline.
 *
 * <p>The bounds are the stated ones: no accepted request lost, no double run, no wrong answer, no
 * run told as "not run", and no new work on a leaving endpoint after three seconds.
 *
 * <p>Not safe for use by several threads.
 */
public final class WaveBench {
  private static final long NOTICE_MILLIS = 5_000;
  private static final long KILL_AFTER_NOTICE_MILLIS = 200;
  private static final double WAVE_AT = 0.4;
  private static final int WARM_UP = 400;
  private static final double WARM_UP_RATE = 40;
  private static final int CALLERS = 12;
  private static final int DOMAINS = 4;
  private static final int RECLAIMED_DOMAIN = 1;
  private static final int TABLE_COLUMN = 26;

  private final OptionSet options;
  private final long seed;
  private final int requests;
  private final double rate;
  private final Path dir;

  private WaveBench(OptionSet options, long seed, int requests, double rate, Path dir) {
    this.options = options;
    this.seed = seed;
    this.requests = requests;
    this.rate = rate;
    this.dir = dir;
  }

  /** Runs the measurement; returns 0 if every bound held. */
  public static int run(String[] args) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser
            .accepts("seed", "seed of the mix")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    final OptionSpec<Integer> requests =
        parser
            .accepts("requests", "calls in each of the two runs")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(5_000);
    final OptionSpec<Double> rate =
        parser
            .accepts("rate", "calls a second")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(50.0);
    parser.accepts("baseline-only", "runs and prints only the baseline");
    parser.accepts("no-baseline", "leaves the baseline out");
    parser.accepts("help", "prints this").forHelp();
    OptionSet options = parser.parse(args);
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      return 0;
    }
    Path dir = Files.createTempDirectory("heatherspread-wave");
    return new WaveBench(
            options, options.valueOf(seed), options.valueOf(requests), options.valueOf(rate), dir)
        .run();
  }

  private int run() throws IOException {
    System.out.println("logs and ledgers: " + dir);
    if (options.has("baseline-only")) {
      System.out.println(describe(baseline()));
      return 0;
    }
    Result system = system();
    System.out.println("heatherspread: " + describe(system));
    Result baseline = options.has("no-baseline") ? null : baseline();
    print(system, baseline);
    return system.check().invariantsHold() ? 0 : 1;
  }

  private record Result(CheckResult check, double cost, long tableWrites) {}

  // ---- The two runs ----

  private Result system() throws IOException {
    Deployment deployment = Deployment.patikoop();
    try (ProcessGroup group = ProcessGroup.create(dir)) {
      FleetLayout layout = new FleetLayout(8, 10, 4, DOMAINS, "");
      LocalFleet fleet = LocalFleet.create(deployment, layout, group, "s-");
      System.out.println("starting 8 daemons, 10 engines, 4 plain services ...");
      fleet.startEndpoints();
      fleet.startDaemons();
      fleet.configure();
      List<String> urls = fleet.instances("daemon").stream().map(FleetInstance::baseUrl).toList();
      List<Caller> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(RoutedCaller.create(deployment.accountKey(), urls));
      }
      return load(fleet, callers, "s-");
    }
  }

  private Result baseline() throws IOException {
    Deployment deployment = Deployment.patikoop();
    try (ProcessGroup group = ProcessGroup.create(dir)) {
      FleetLayout layout = new FleetLayout(0, 10, 4, DOMAINS, "");
      LocalFleet fleet = LocalFleet.create(deployment, layout, group, "b-");
      System.out.println("starting 10 engines, 4 plain services for the baseline ...");
      fleet.startEndpoints();
      List<Caller> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        callers.add(DirectCaller.create(fleet.cloudUrl(), "b" + i + "-"));
      }
      return load(fleet, callers, "b-");
    }
  }

  /** Warms the processes up, then makes the calls with the wave among them. */
  private Result load(LocalFleet fleet, List<Caller> callers, String prefix) throws IOException {
    List<CallSpec> warmUp =
        CallGenerator.create(fleet.deployment(), prefix + "w", seed).generate(WARM_UP);
    OpenLoopLoadGenerator.start(callers, warmUp, WARM_UP_RATE, r -> {}).join();
    List<CallSpec> specs =
        CallGenerator.create(fleet.deployment(), prefix + seed, seed).generate(requests);
    AtomicInteger done = new AtomicInteger();
    final double costBefore = fleet.cost();
    long begin = System.currentTimeMillis();
    OpenLoopLoadGenerator run =
        OpenLoopLoadGenerator.start(callers, specs, rate, r -> progress(done.incrementAndGet()));
    long waveAt = begin + (long) (WAVE_AT * requests / rate * 1_000);
    Map<String, Long> leaving = wave(fleet, waveAt);
    final List<CallReport> reports = run.join();
    final double cost = fleet.cost() - costBefore;
    long writes =
        JsonHttpClient.mapper()
            .readTree(JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "").body())
            .path("writes")
            .asLong();
    CheckResult check =
        InvariantChecker.check(reports, ExecutionLogReader.read(dir, prefix), leaving);
    return new Result(check, cost, writes);
  }

  private void progress(int done) {
    if (done % 500 == 0) {
      System.out.println("  " + done + " of " + requests + " calls ended");
    }
  }

  private static Map<String, Long> wave(LocalFleet fleet, long atMillis) throws IOException {
    sleepUntil(atMillis);
    String domain = fleet.deployment().domains().get(RECLAIMED_DOMAIN);
    long noticed = System.currentTimeMillis();
    fleet.announceReclaim(domain, NOTICE_MILLIS);
    System.out.println("  notice: " + domain + " ends in " + NOTICE_MILLIS + " ms");
    Map<String, Long> leaving = new HashMap<>();
    FleetInstance victim = null;
    for (FleetInstance instance : fleet.instances()) {
      if (instance.domain().equals(domain)) {
        leaving.put(instance.id(), noticed);
        victim = instance.kind().equals("daemon") && victim == null ? instance : victim;
      }
    }
    if (victim != null) {
      sleepUntil(noticed + KILL_AFTER_NOTICE_MILLIS);
      victim.process().kill();
      System.out.println("  killed in its handover: " + victim.id());
    }
    sleepUntil(noticed + NOTICE_MILLIS);
    fleet.killDomain(domain);
    System.out.println("  ended: " + domain);
    return leaving;
  }

  private static void sleepUntil(long millis) {
    try {
      Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- Output ----

  private void print(Result system, Result baseline) {
    System.out.println();
    List<String> faults = system.check().faults();
    faults.stream().limit(40).forEach(f -> System.out.println("  " + f));
    ObjectNode json = JsonHttpClient.mapper().createObjectNode();
    json.put("bench", "wave").put("seed", seed).put("requests", requests).put("rate", rate);
    json.put("held", system.check().invariantsHold());
    json.set("system", describe(system));
    if (baseline != null) {
      json.set("baseline", describe(baseline));
    }
    row("", "heatherspread", "round-robin");
    for (String name : describe(system).properties().stream().map(Map.Entry::getKey).toList()) {
      String other = baseline == null ? "" : json.path("baseline").path(name).asText();
      row(name, json.path("system").path(name).asText(), other);
    }
    System.out.println(json);
  }

  private ObjectNode describe(Result result) {
    ObjectNode node = JsonHttpClient.mapper().valueToTree(result.check());
    node.remove("faults");
    node.put("cost", round(result.cost()));
    int target = (int) (result.check().answeredWhole() * result.check().withinTarget());
    node.put("cost_per_1000_in_target", round(result.cost() * 1_000 / Math.max(1, target)));
    return node.put("table_writes", result.tableWrites());
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  private static void row(String name, String left, String right) {
    String format = "%-" + TABLE_COLUMN + "s %16s %16s%n";
    System.out.printf(Locale.ROOT, format, name, left, right);
  }
}
