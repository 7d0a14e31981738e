package org.heatherspread.bench.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.heatherspread.bench.caller.CallGenerator;
import org.heatherspread.bench.caller.CallReport;
import org.heatherspread.bench.caller.CallSpec;
import org.heatherspread.bench.caller.Caller;
import org.heatherspread.bench.caller.CheckResult;
import org.heatherspread.bench.caller.ExecutionLogReader;
import org.heatherspread.bench.caller.InvariantChecker;
import org.heatherspread.bench.caller.OpenLoopLoadGenerator;
import org.heatherspread.bench.caller.RoutedCaller;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.bench.process.FleetInstance;
import org.heatherspread.bench.process.FleetLayout;
import org.heatherspread.bench.process.LocalFleet;
import org.heatherspread.bench.process.ProcessGroup;
import org.heatherspread.core.routing.PrefixHashes.Message;

/**
 * The demonstration of one deployment. Life cycle: {@link #create}, {@link #run} once.
 *
 * <p>Not safe for use by several threads.
 */
final class DemoRun {
  private static final int CALLS = 40;
  private static final double CALLS_PER_SECOND = 5;
  private static final int LONG_ANSWER_TOKENS = 400;
  private static final long NOTICE_MILLIS = 4_000;
  private static final long CALLS_BEFORE_NOTICE_MILLIS = 1_500;
  private static final long POLL_MILLIS = 20;
  private static final long STREAM_START_MILLIS = 30_000;

  private final Deployment deployment;
  private final ProcessGroup group;
  private final long seed;
  private final String prefix;
  private double cost;

  private DemoRun(Deployment deployment, ProcessGroup group, long seed) {
    this.deployment = deployment;
    this.group = group;
    this.seed = seed;
    this.prefix = deployment.name() + "-";
  }

  static DemoRun create(Deployment deployment, ProcessGroup group, long seed) {
    return new DemoRun(deployment, group, seed);
  }

  CheckResult run(Consumer<CallReport> listener) throws IOException {
    System.out.println(deployment.name() + ": starting stand-ins and three daemons ...");
    LocalFleet fleet =
        LocalFleet.create(deployment, new FleetLayout(3, 3, 3, 3, ""), group, prefix);
    fleet.startEndpoints();
    fleet.startDaemons();
    System.out.println(deployment.name() + ": confirming services and account ...");
    fleet.configure();
    List<String> urls = fleet.instances("daemon").stream().map(FleetInstance::baseUrl).toList();
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      callers.add(RoutedCaller.create(deployment.accountKey(), urls));
    }
    System.out.println(deployment.name() + ": sending the mix ...");
    List<CallSpec> specs = CallGenerator.create(deployment, prefix + seed, seed).generate(CALLS);
    OpenLoopLoadGenerator load =
        OpenLoopLoadGenerator.start(callers, specs, CALLS_PER_SECOND, listener);
    sleep(CALLS_BEFORE_NOTICE_MILLIS);
    CompletableFuture<CallReport> stream =
        CompletableFuture.supplyAsync(() -> callers.get(0).call(longStream()));
    final Map<String, Long> leaving = reclaim(fleet, streamDomain(fleet));
    List<CallReport> reports = new ArrayList<>(load.join());
    CallReport last = stream.join();
    listener.accept(last);
    reports.add(last);
    cost = fleet.cost();
    CheckResult result =
        InvariantChecker.check(reports, ExecutionLogReader.read(group.dir(), prefix), leaving);
    fleet.close();
    return result;
  }

  double cost() {
    return cost;
  }

  private CallSpec longStream() {
    List<Message> messages =
        List.of(new Message("user", "A long summary, please. " + prefix + seed));
    return new CallSpec(
        CALLS,
        CallSpec.Kind.CHAT,
        deployment.modelService(),
        "long summary",
        messages,
        LONG_ANSWER_TOKENS,
        "",
        "");
  }

  // ---- Reclaim ----

  /** Returns the failure domain of the engine that the latest stream runs on. */
  private String streamDomain(LocalFleet fleet) throws IOException {
    long begin = System.currentTimeMillis();
    while (System.currentTimeMillis() < begin + STREAM_START_MILLIS) {
      for (ExecutionLogReader.Entry line :
          ExecutionLogReader.read(group.dir(), prefix + "engine")) {
        if (line.isStart() && line.millis() >= begin && line.tokens() < 30) {
          return domainOf(fleet, line.instance());
        }
      }
      sleep(POLL_MILLIS);
    }
    return fleet.instances("engine").get(0).domain();
  }

  private static String domainOf(LocalFleet fleet, String instanceId) {
    for (FleetInstance instance : fleet.instances()) {
      if (instance.id().equals(instanceId)) {
        return instance.domain();
      }
    }
    throw new IllegalStateException("unknown instance in a ledger: " + instanceId);
  }

  private Map<String, Long> reclaim(LocalFleet fleet, String domain) throws IOException {
    long noticed = System.currentTimeMillis();
    fleet.announceReclaim(domain, NOTICE_MILLIS);
    System.out.println(
        deployment.name() + ": " + domain + " ends in " + NOTICE_MILLIS + " ms, mid-stream");
    Map<String, Long> leaving = new HashMap<>();
    for (FleetInstance instance : fleet.instances()) {
      if (instance.domain().equals(domain)) {
        leaving.put(instance.id(), noticed);
      }
    }
    sleep(NOTICE_MILLIS);
    fleet.killDomain(domain);
    System.out.println(deployment.name() + ": " + domain + " has ended");
    return leaving;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
