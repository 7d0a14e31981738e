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
 * Runs the demonstration of one deployment. Life cycle: {@link #create}, {@link #run} once.
 *
 * <p>Not thread-safe.
 */
final class DemoRun {
  private static final int CALLS = 40;
  private static final double CALLS_PER_SECOND = 5;
  private static final int LONG_ANSWER_TOKENS = 400;
  private static final long RECLAIM_NOTICE_MILLIS = 4_000;
  private static final long LOAD_BEFORE_RECLAIM_MILLIS = 1_500;
  private static final long POLL_MILLIS = 20;
  private static final long STREAM_START_TIMEOUT_MILLIS = 30_000;

  private final Deployment deployment;
  private final ProcessGroup group;
  private final long seed;
  private final String idPrefix;
  private double cost;

  private DemoRun(Deployment deployment, ProcessGroup group, long seed) {
    this.deployment = deployment;
    this.group = group;
    this.seed = seed;
    this.idPrefix = deployment.name() + "-";
  }

  static DemoRun create(Deployment deployment, ProcessGroup group, long seed) {
    return new DemoRun(deployment, group, seed);
  }

  CheckResult run(Consumer<CallReport> listener) throws IOException {
    System.out.println(deployment.name() + ": starting stand-ins and three daemons ...");
    LocalFleet fleet =
        LocalFleet.create(deployment, new FleetLayout(3, 3, 3, 3, ""), group, idPrefix);
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
    List<CallSpec> specs = CallGenerator.create(deployment, idPrefix + seed, seed).generate(CALLS);
    OpenLoopLoadGenerator load =
        OpenLoopLoadGenerator.start(callers, specs, CALLS_PER_SECOND, listener);
    sleep(LOAD_BEFORE_RECLAIM_MILLIS);
    CompletableFuture<CallReport> longCall =
        CompletableFuture.supplyAsync(() -> callers.get(0).call(longCompletion()));
    final Map<String, Long> noticeMillisByInstance = reclaim(fleet, awaitStreamDomain(fleet));
    List<CallReport> reports = new ArrayList<>(load.join());
    CallReport longReport = longCall.join();
    listener.accept(longReport);
    reports.add(longReport);
    cost = fleet.cost();
    CheckResult result =
        InvariantChecker.check(
            reports, ExecutionLogReader.read(group.dir(), idPrefix), noticeMillisByInstance);
    fleet.close();
    return result;
  }

  double cost() {
    return cost;
  }

  private CallSpec longCompletion() {
    List<Message> messages =
        List.of(new Message("user", "A long summary, please. " + idPrefix + seed));
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

  /**
   * Waits until an engine starts a request with fewer than 30 uncached prompt tokens, such as the
   * long completion, and returns the failure domain of that engine, or of the first engine after a
   * timeout.
   */
  private String awaitStreamDomain(LocalFleet fleet) throws IOException {
    long startMillis = System.currentTimeMillis();
    while (System.currentTimeMillis() < startMillis + STREAM_START_TIMEOUT_MILLIS) {
      for (ExecutionLogReader.Entry entry :
          ExecutionLogReader.read(group.dir(), idPrefix + "engine")) {
        if (entry.isStart() && entry.millis() >= startMillis && entry.tokens() < 30) {
          return domainOf(fleet, entry.instance());
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
    throw new IllegalStateException("execution log names an unknown instance: " + instanceId);
  }

  private Map<String, Long> reclaim(LocalFleet fleet, String domain) throws IOException {
    long noticeMillis = System.currentTimeMillis();
    fleet.announceReclaim(domain, RECLAIM_NOTICE_MILLIS);
    System.out.println(
        deployment.name()
            + ": "
            + domain
            + " ends in "
            + RECLAIM_NOTICE_MILLIS
            + " ms, mid-stream");
    Map<String, Long> noticeMillisByInstance = new HashMap<>();
    for (FleetInstance instance : fleet.instances()) {
      if (instance.domain().equals(domain)) {
        noticeMillisByInstance.put(instance.id(), noticeMillis);
      }
    }
    sleep(RECLAIM_NOTICE_MILLIS);
    fleet.killDomain(domain);
    System.out.println(deployment.name() + ": " + domain + " has ended");
    return noticeMillisByInstance;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
