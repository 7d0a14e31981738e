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
 * Eight daemons as processes through an outage of the table service: confirmations before and after
 * it, a refused one within it, and a daemon killed and started again within it. Confined to one
 * thread but for the watch of versions.
 */
final class OutageRun {
  private static final String DAEMON = "org.heatherspread.daemon.DaemonMain";
  private static final int DAEMON_HEAP_MEGABYTES = 192;
  private static final Duration OUTAGE = Duration.ofSeconds(60);
  private static final long IN_FORCE_BOUND_MILLIS = 4_000;
  private static final long READY_TIMEOUT_MILLIS = 30_000;
  private static final long WATCH_MILLIS = 200;
  private static final long RETRY_MILLIS = 250;
  private static final double READS_BOUND = 2_000.0;
  private static final double WRITES_BOUND = 300.0;

  private final LocalFleet fleet;
  private final ProcessGroup group;
  private final HttpClient client = HttpClient.newHttpClient();
  private final AtomicInteger versionsGoneBack = new AtomicInteger();
  private final AtomicInteger notReady = new AtomicInteger();
  private final List<String> faults = new ArrayList<>();
  private volatile boolean watching = true;
  private volatile String excused = "";

  private OutageRun(LocalFleet fleet, ProcessGroup group) {
    this.fleet = fleet;
    this.group = group;
  }

  /** Runs it and returns whether everything held; fills in the figures. */
  static boolean run(ObjectNode result) throws Exception {
    try (ProcessGroup group = ProcessGroup.create(Files.createTempDirectory("outage"))) {
      FleetLayout layout = new FleetLayout(8, 2, 1, 4, "");
      LocalFleet fleet = LocalFleet.create(Deployment.patikoop(), layout, group, "o-");
      fleet.startEndpoints();
      fleet.startDaemons();
      fleet.configure();
      OutageRun run = new OutageRun(fleet, group);
      run.steps(result);
      run.faults.forEach(fault -> System.out.println("broken: " + fault));
      return run.faults.isEmpty();
    }
  }

  private void steps(ObjectNode result) throws Exception {
    Thread watch = new Thread(this::watch, "watch");
    watch.start();
    result.put("in_force_before_ms", confirm(0, "before", true));
    setOutage(true);
    long outageEnds = System.currentTimeMillis() + OUTAGE.toMillis();
    HttpResponse<String> refused = plan(1, "within");
    check(refused.statusCode() == 503, "a plan within the outage: " + refused.body());
    result.put("restart_ready_ms", restart(fleet.instances("daemon").get(2)));
    Thread.sleep(Math.max(0, outageEnds - System.currentTimeMillis()));
    long[] before = counters();
    setOutage(false);
    Thread.sleep(5_000);
    long[] after = counters();
    double reads = (after[0] - before[0]) / 5.0;
    double writes = (after[1] - before[1]) / 5.0;
    result.put("reads_per_second_after", reads).put("writes_per_second_after", writes);
    check(reads <= READS_BOUND && writes <= WRITES_BOUND, "stampede after the outage");
    result.put("in_force_after_ms", confirm(4, "after", false));
    watching = false;
    watch.join();
    result.put("versions_gone_back", versionsGoneBack.get()).put("not_ready_seen", notReady.get());
    check(versionsGoneBack.get() == 0, "a version went back");
    check(notReady.get() == 0, "a daemon was not ready during the outage");
  }

  private void check(boolean holds, String fault) {
    if (!holds) {
      faults.add(fault);
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Operators
  // ---------------------------------------------------------------------------------------------

  private HttpResponse<String> plan(int daemon, String account) throws Exception {
    String hash = Integer.toHexString(account.hashCode());
    String keyHash = "0".repeat(64 - hash.length()) + hash;
    String intent =
        """
        {"kind":"put_account","account":{"name":"%s","key_hash":"%s","priority":0,"limits":
        {"requests_per_second":1,"tokens_per_second":1,"concurrency":1}}}
        """
            .formatted(account, keyHash);
    return call(daemon, "POST", "/operator/v1/plans", intent);
  }

  /** Plans and confirms at different daemons; returns when it was in force, in milliseconds. */
  private long confirm(int daemon, String account, boolean mustPlanAtOnce) throws Exception {
    HttpResponse<String> planned = plan(daemon, account);
    for (int i = 0; planned.statusCode() != 201 && !mustPlanAtOnce && i < 40; i++) {
      Thread.sleep(RETRY_MILLIS);
      planned = plan(daemon, account);
    }
    check(planned.statusCode() == 201, "plan " + account + ": " + planned.body());
    String id = JsonHttpClient.mapper().readTree(planned.body()).path("id").asText();
    long start = System.currentTimeMillis();
    var answer = call(daemon + 1, "POST", "/operator/v1/plans/" + id + "/confirm", "");
    final long took = System.currentTimeMillis() - start;
    JsonNode body = JsonHttpClient.mapper().readTree(answer.body());
    check(body.path("in_force").asBoolean(false), "confirm " + account + ": " + answer.body());
    check(took <= IN_FORCE_BOUND_MILLIS, account + " took " + took + " ms");
    return took;
  }

  private HttpResponse<String> call(int daemon, String method, String path, String body)
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

  // ---------------------------------------------------------------------------------------------
  // Faults
  // ---------------------------------------------------------------------------------------------

  private void setOutage(boolean on) throws IOException {
    JsonHttpClient.post(fleet.tableUrl() + "/standin/faults", "{\"outage\":" + on + "}");
  }

  private long[] counters() throws IOException {
    var answer = JsonHttpClient.send("GET", fleet.tableUrl() + "/standin/counters", "");
    JsonNode body = JsonHttpClient.mapper().readTree(answer.body());
    return new long[] {body.path("reads").asLong(), body.path("writes").asLong()};
  }

  /**
   * Kills a daemon, starts it again, and returns how long it took to be ready without the store.
   */
  private long restart(FleetInstance node) throws Exception {
    excused = node.id();
    node.process().kill();
    Thread.sleep(3_000);
    long start = System.currentTimeMillis();
    String file = group.dir().resolve(node.id() + ".toml").toString();
    group.start(node.id() + "-again", DAEMON_HEAP_MEGABYTES, DAEMON, List.of("--config", file));
    while (System.currentTimeMillis() < start + READY_TIMEOUT_MILLIS) {
      if (status(node) == 200) {
        excused = "";
        return System.currentTimeMillis() - start;
      }
      Thread.sleep(100);
    }
    check(false, "the daemon that started within the outage did not become ready");
    return -1;
  }

  private static int status(FleetInstance node) {
    try {
      return JsonHttpClient.send("GET", node.baseUrl() + "/health/ready", "").statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Watch
  // ---------------------------------------------------------------------------------------------

  private void watch() {
    Map<String, Long> seen = new HashMap<>();
    while (watching) {
      for (int i = 0; i < fleet.instances("daemon").size(); i++) {
        FleetInstance node = fleet.instances("daemon").get(i);
        if (!node.id().equals(excused)) {
          look(i, node, seen);
        }
      }
      try {
        Thread.sleep(WATCH_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void look(int index, FleetInstance node, Map<String, Long> seen) {
    try {
      JsonNode body =
          JsonHttpClient.mapper().readTree(call(index, "GET", "/operator/v1/config", "").body());
      long version = body.path("version").asLong(-1);
      if (version < seen.getOrDefault(node.id(), 0L)) {
        versionsGoneBack.incrementAndGet();
      }
      seen.merge(node.id(), version, Math::max);
    } catch (IOException e) {
      if (!node.id().equals(excused)) {
        notReady.incrementAndGet();
      }
      return;
    } catch (InterruptedException e) {
      return;
    }
    if (status(node) != 200 && !node.id().equals(excused)) {
      notReady.incrementAndGet();
    }
  }
}
