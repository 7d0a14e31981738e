package org.heatherspread.bench.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.bench.process.FleetInstance;
import org.heatherspread.bench.process.FleetLayout;
import org.heatherspread.bench.process.JsonHttpClient;
import org.heatherspread.bench.process.LocalFleet;
import org.heatherspread.bench.process.ProcessGroup;

/**
 * Runs eight daemon processes through an outage of the table service. A plan is confirmed before
 * and after the outage; during the outage, a plan must be rejected, and a daemon is killed and
 * restarted. A monitor thread checks throughout that no daemon reports an older configuration
 * version and that none but the restarted one becomes unready. Apart from that thread, not
 * thread-safe.
 */
final class StoreOutageScenario {
  private static final String DAEMON_MAIN_CLASS = "org.heatherspread.daemon.DaemonMain";
  private static final int DAEMON_HEAP_MEGABYTES = 192;
  private static final Duration OUTAGE_DURATION = Duration.ofSeconds(60);
  private static final long IN_FORCE_BOUND_MILLIS = 4_000;
  private static final long READY_TIMEOUT_MILLIS = 30_000;
  private static final long MONITOR_INTERVAL_MILLIS = 200;
  private static final long RETRY_INTERVAL_MILLIS = 250;
  private static final double MAX_READS_PER_SECOND = 2_000.0;
  private static final double MAX_WRITES_PER_SECOND = 300.0;

  private final LocalFleet fleet;
  private final ProcessGroup group;
  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicInteger versionRegressions = new AtomicInteger();
  private final AtomicInteger notReadyCount = new AtomicInteger();
  private final List<String> violations = new ArrayList<>();
  private volatile boolean monitoring = true;
  private volatile String restartingInstance = "";

  private StoreOutageScenario(LocalFleet fleet, ProcessGroup group) {
    this.fleet = fleet;
    this.group = group;
  }

  /**
   * Runs the scenario, writes its measurements to {@code result}, and returns whether all checks
   * passed.
   */
  static boolean run(ObjectNode result) throws Exception {
    try (ProcessGroup group = ProcessGroup.create(Files.createTempDirectory("outage"))) {
      FleetLayout layout = new FleetLayout(8, 2, 1, 4, "");
      LocalFleet fleet = LocalFleet.create(Deployment.patikoop(), layout, group, "o-");
      fleet.startEndpoints();
      fleet.startDaemons();
      fleet.configure();
      StoreOutageScenario run = new StoreOutageScenario(fleet, group);
      run.runSteps(result);
      run.violations.forEach(violation -> System.out.println("violation: " + violation));
      return run.violations.isEmpty();
    }
  }

  private void runSteps(ObjectNode result) throws Exception {
    Thread monitor = new Thread(this::monitorDaemons, "watch");
    monitor.start();
    result.put("in_force_before_ms", planAndConfirm(0, "before", true));
    setOutage(true);
    long outageEndMillis = System.currentTimeMillis() + OUTAGE_DURATION.toMillis();
    HttpResponse<String> rejected = createPlan(1, "within");
    verify(
        rejected.statusCode() == 503,
        "plan created during the outage was not rejected with status 503: " + rejected.body());
    result.put("restart_ready_ms", restartDaemon(fleet.instances("daemon").get(2)));
    Thread.sleep(Math.max(0, outageEndMillis - System.currentTimeMillis()));
    long[] countersBefore = readTableCounters();
    setOutage(false);
    Thread.sleep(5_000);
    long[] countersAfter = readTableCounters();
    double readsPerSecond = (countersAfter[0] - countersBefore[0]) / 5.0;
    double writesPerSecond = (countersAfter[1] - countersBefore[1]) / 5.0;
    result
        .put("reads_per_second_after", readsPerSecond)
        .put("writes_per_second_after", writesPerSecond);
    verify(
        readsPerSecond <= MAX_READS_PER_SECOND && writesPerSecond <= MAX_WRITES_PER_SECOND,
        "table service load after the outage exceeds its bounds");
    result.put("in_force_after_ms", planAndConfirm(4, "after", false));
    monitoring = false;
    monitor.join();
    result
        .put("versions_gone_back", versionRegressions.get())
        .put("not_ready_seen", notReadyCount.get());
    verify(versionRegressions.get() == 0, "a daemon reported an older configuration version");
    verify(notReadyCount.get() == 0, "a daemon was not ready during the outage");
  }

  private void verify(boolean condition, String violation) {
    if (!condition) {
      violations.add(violation);
    }
  }

  private HttpResponse<String> createPlan(int daemon, String account) throws Exception {
    String hash = Integer.toHexString(account.hashCode());
    String keyHash = "0".repeat(64 - hash.length()) + hash;
    String intent =
        """
        {"kind":"put_account","account":{"name":"%s","key_hash":"%s","priority":0,"limits":
        {"requests_per_second":1,"tokens_per_second":1,"concurrency":1}}}
        """
            .formatted(account, keyHash);
    return sendOperatorRequest(daemon, "POST", "/operator/v1/plans", intent);
  }

  /**
   * Creates a plan at one daemon and confirms it at the next one.
   *
   * @param firstPlanMustSucceed whether the first attempt to create the plan must succeed;
   *     otherwise it is repeated up to 40 times
   * @return milliseconds from the confirmation until the change was in force
   */
  private long planAndConfirm(int daemon, String account, boolean firstPlanMustSucceed)
      throws Exception {
    HttpResponse<String> planned = createPlan(daemon, account);
    for (int i = 0; planned.statusCode() != 201 && !firstPlanMustSucceed && i < 40; i++) {
      Thread.sleep(RETRY_INTERVAL_MILLIS);
      planned = createPlan(daemon, account);
    }
    verify(
        planned.statusCode() == 201,
        "plan was not created for account " + account + ": " + planned.body());
    String id = JsonHttpClient.mapper().readTree(planned.body()).path("id").asText();
    long start = System.currentTimeMillis();
    var response =
        sendOperatorRequest(daemon + 1, "POST", "/operator/v1/plans/" + id + "/confirm", "");
    final long elapsedMillis = System.currentTimeMillis() - start;
    JsonNode body = JsonHttpClient.mapper().readTree(response.body());
    verify(
        body.path("in_force").asBoolean(false),
        "confirmed change is not in force for account " + account + ": " + response.body());
    verify(
        elapsedMillis <= IN_FORCE_BOUND_MILLIS,
        account + ": change came into force after " + elapsedMillis + " ms");
    return elapsedMillis;
  }

  private HttpResponse<String> sendOperatorRequest(
      int daemon, String method, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(fleet.instances("daemon").get(daemon).baseUrl() + path))
            .timeout(Duration.ofSeconds(15))
            .header("Authorization", "Bearer " + LocalFleet.operatorKey())
            .header("Content-Type", "application/json")
            .method(method, BodyPublishers.ofString(body))
            .build();
    return client.send(request, BodyHandlers.ofString());
  }

  private void setOutage(boolean enabled) throws IOException {
    JsonHttpClient.post(fleet.tableUrl() + "/standin/faults", "{\"outage\":" + enabled + "}");
  }

  private long[] readTableCounters() throws IOException {
    var response = JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "");
    JsonNode body = JsonHttpClient.mapper().readTree(response.body());
    return new long[] {body.path("reads").asLong(), body.path("writes").asLong()};
  }

  /**
   * Kills and restarts a daemon while the table service is unavailable.
   *
   * @return milliseconds until the daemon was ready, or -1 on timeout
   */
  private long restartDaemon(FleetInstance instance) throws Exception {
    restartingInstance = instance.id();
    instance.process().kill();
    Thread.sleep(3_000);
    long start = System.currentTimeMillis();
    String settingsFile = group.dir().resolve(instance.id() + ".toml").toString();
    group.start(
        instance.id() + "-again",
        DAEMON_HEAP_MEGABYTES,
        DAEMON_MAIN_CLASS,
        List.of("--config", settingsFile));
    while (System.currentTimeMillis() < start + READY_TIMEOUT_MILLIS) {
      if (readinessStatus(instance) == 200) {
        restartingInstance = "";
        return System.currentTimeMillis() - start;
      }
      Thread.sleep(100);
    }
    verify(false, "daemon restarted during the outage did not become ready");
    return -1;
  }

  private static int readinessStatus(FleetInstance instance) {
    try {
      return JsonHttpClient.send("GET", instance.baseUrl() + "/health/ready", "").statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  private void monitorDaemons() {
    Map<String, Long> lastVersions = new HashMap<>();
    while (monitoring) {
      for (int i = 0; i < fleet.instances("daemon").size(); i++) {
        FleetInstance instance = fleet.instances("daemon").get(i);
        if (!instance.id().equals(restartingInstance)) {
          checkDaemon(i, instance, lastVersions);
        }
      }
      try {
        Thread.sleep(MONITOR_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void checkDaemon(int daemon, FleetInstance instance, Map<String, Long> lastVersions) {
    try {
      JsonNode body =
          JsonHttpClient.mapper()
              .readTree(sendOperatorRequest(daemon, "GET", "/operator/v1/config", "").body());
      long version = body.path("version").asLong(-1);
      if (version < lastVersions.getOrDefault(instance.id(), 0L)) {
        versionRegressions.incrementAndGet();
      }
      lastVersions.merge(instance.id(), version, Math::max);
    } catch (IOException e) {
      if (!instance.id().equals(restartingInstance)) {
        notReadyCount.incrementAndGet();
      }
      return;
    } catch (InterruptedException e) {
      return;
    }
    if (readinessStatus(instance) != 200 && !instance.id().equals(restartingInstance)) {
      notReadyCount.incrementAndGet();
    }
  }
}
