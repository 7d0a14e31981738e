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
 * Measures a reclaim burst with real processes: 8 daemons, 10 model engines and 4 plain services in
 * four failure domains under load. All instances of one domain end five seconds after their notice,
 * and one of its daemons is killed in the middle of its handover. As the baseline, the same calls
 * and the same reclaim are repeated with callers that send to equal endpoints directly and retry.
 *
 * <p>The benchmark fails if an accepted request is lost, a write runs twice, an answer is wrong, a
 * call reported as not run was executed, a leaving endpoint starts work later than three seconds
 * after the notice, or too few calls are answered.
 *
 * <p>Not thread-safe.
 */
public final class WaveBench {
  private static final long RECLAIM_NOTICE_MILLIS = 5_000;
  private static final long KILL_DELAY_MILLIS = 200;
  private static final double RECLAIM_AT_SHARE = 0.4;
  private static final int WARM_UP_CALLS = 400;
  private static final double WARM_UP_CALLS_PER_SECOND = 40;
  private static final int CALLERS = 12;
  private static final int DOMAINS = 4;
  private static final int RECLAIMED_DOMAIN_INDEX = 1;
  private static final int FIRST_COLUMN_WIDTH = 26;

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

  /** Runs the benchmark; returns 0 if every invariant held. */
  public static int run(String[] args) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser
            .accepts("seed", "seed of the generated calls")
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
            .accepts("rate", "calls per second")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(50.0);
    parser.accepts("baseline-only", "runs and prints only the baseline");
    parser.accepts("no-baseline", "skips the baseline");
    parser.accepts("help", "prints this help").forHelp();
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
      System.out.println(toJson(runBaseline()));
      return 0;
    }
    Result routed = runRouted();
    System.out.println("heatherspread: " + toJson(routed));
    Result baseline = options.has("no-baseline") ? null : runBaseline();
    print(routed, baseline);
    return routed.check().invariantsHold() ? 0 : 1;
  }

  private record Result(CheckResult check, double cost, long tableWrites) {}

  private Result runRouted() throws IOException {
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
      return runLoad(fleet, callers, "s-");
    }
  }

  private Result runBaseline() throws IOException {
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
      return runLoad(fleet, callers, "b-");
    }
  }

  /** Warms up the processes, then makes the calls and reclaims a failure domain meanwhile. */
  private Result runLoad(LocalFleet fleet, List<Caller> callers, String idPrefix)
      throws IOException {
    List<CallSpec> warmUp =
        CallGenerator.create(fleet.deployment(), idPrefix + "w", seed).generate(WARM_UP_CALLS);
    OpenLoopLoadGenerator.start(callers, warmUp, WARM_UP_CALLS_PER_SECOND, r -> {}).join();
    List<CallSpec> specs =
        CallGenerator.create(fleet.deployment(), idPrefix + seed, seed).generate(requests);
    AtomicInteger done = new AtomicInteger();
    final double costBefore = fleet.cost();
    long startMillis = System.currentTimeMillis();
    OpenLoopLoadGenerator load =
        OpenLoopLoadGenerator.start(
            callers, specs, rate, r -> printProgress(done.incrementAndGet()));
    long reclaimAtMillis = startMillis + (long) (RECLAIM_AT_SHARE * requests / rate * 1_000);
    Map<String, Long> noticeMillisByInstance = reclaimDomain(fleet, reclaimAtMillis);
    final List<CallReport> reports = load.join();
    final double cost = fleet.cost() - costBefore;
    long writes =
        JsonHttpClient.mapper()
            .readTree(JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "").body())
            .path("writes")
            .asLong();
    CheckResult check =
        InvariantChecker.check(
            reports, ExecutionLogReader.read(dir, idPrefix), noticeMillisByInstance);
    return new Result(check, cost, writes);
  }

  private void printProgress(int done) {
    if (done % 500 == 0) {
      System.out.println("  " + done + " of " + requests + " calls ended");
    }
  }

  /** Reclaims a domain at the given time; returns the time of the notice by instance id. */
  private static Map<String, Long> reclaimDomain(LocalFleet fleet, long atMillis)
      throws IOException {
    sleepUntil(atMillis);
    String domain = fleet.deployment().domains().get(RECLAIMED_DOMAIN_INDEX);
    long noticeMillis = System.currentTimeMillis();
    fleet.announceReclaim(domain, RECLAIM_NOTICE_MILLIS);
    System.out.println("  notice: " + domain + " ends in " + RECLAIM_NOTICE_MILLIS + " ms");
    Map<String, Long> noticeMillisByInstance = new HashMap<>();
    FleetInstance killedDaemon = null;
    for (FleetInstance instance : fleet.instances()) {
      if (instance.domain().equals(domain)) {
        noticeMillisByInstance.put(instance.id(), noticeMillis);
        killedDaemon =
            instance.kind().equals("daemon") && killedDaemon == null ? instance : killedDaemon;
      }
    }
    if (killedDaemon != null) {
      sleepUntil(noticeMillis + KILL_DELAY_MILLIS);
      killedDaemon.process().kill();
      System.out.println("  killed during handover: " + killedDaemon.id());
    }
    sleepUntil(noticeMillis + RECLAIM_NOTICE_MILLIS);
    fleet.killDomain(domain);
    System.out.println("  ended: " + domain);
    return noticeMillisByInstance;
  }

  private static void sleepUntil(long millis) {
    try {
      Thread.sleep(Math.max(0, millis - System.currentTimeMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void print(Result routed, Result baseline) {
    System.out.println();
    List<String> findings = routed.check().faults();
    findings.stream().limit(40).forEach(f -> System.out.println("  " + f));
    ObjectNode json = JsonHttpClient.mapper().createObjectNode();
    json.put("bench", "wave").put("seed", seed).put("requests", requests).put("rate", rate);
    json.put("held", routed.check().invariantsHold());
    json.set("system", toJson(routed));
    if (baseline != null) {
      json.set("baseline", toJson(baseline));
    }
    printRow("", "heatherspread", "round-robin");
    for (String name : toJson(routed).properties().stream().map(Map.Entry::getKey).toList()) {
      String other = baseline == null ? "" : json.path("baseline").path(name).asText();
      printRow(name, json.path("system").path(name).asText(), other);
    }
    System.out.println(json);
  }

  private ObjectNode toJson(Result result) {
    ObjectNode node = JsonHttpClient.mapper().valueToTree(result.check());
    node.remove("faults");
    node.put("cost", round(result.cost()));
    int answeredWithinTarget =
        (int) (result.check().answeredWhole() * result.check().withinTarget());
    node.put(
        "cost_per_1000_in_target",
        round(result.cost() * 1_000 / Math.max(1, answeredWithinTarget)));
    return node.put("table_writes", result.tableWrites());
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  private static void printRow(String name, String left, String right) {
    String format = "%-" + FIRST_COLUMN_WIDTH + "s %16s %16s%n";
    System.out.printf(Locale.ROOT, format, name, left, right);
  }
}
