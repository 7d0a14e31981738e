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
 * Measures the exchange between daemons: how long a change takes to reach all, and what it costs,
 * at 8, 64, 256 and 880 daemons, with bounds from the stated targets; with {@code --processes},
 * eight real daemons through an outage of the table service instead. Stateless.
 */
public final class MembershipBench {
  private static final int[] SIZES = {8, 64, 256, 880};
  private static final int CHANGES = 10;
  private static final double CONFIG_BOUND_MILLIS = 4_000;
  private static final double DAEMON_LEAVING_BOUND_MILLIS = 2_000;
  private static final double ENDPOINT_LEAVING_BOUND_MILLIS = 3_000;
  private static final double BYTES_PER_SECOND_BOUND = 20_000;
  private static final double CORE_BOUND_PERCENT = 2.4;
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration STEADY = Duration.ofSeconds(60);
  private static final Duration PARTITION = Duration.ofSeconds(60);
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final int MIN_ENDPOINTS = 64;

  private MembershipBench() {}

  /** Runs the measurement; returns 1 when a bound is broken. */
  public static int run(String[] args) throws Exception {
    List<String> given = Arrays.asList(args);
    int at = given.indexOf("--seed");
    long seed = at >= 0 ? Long.parseLong(given.get(at + 1)) : 1;
    ObjectNode result = new ObjectMapper().createObjectNode();
    if (given.contains("--processes")) {
      result.put("bench", "membership processes");
      boolean held = OutageRun.run(result);
      System.out.println(result.put("bounds_held", held));
      return held ? 0 : 1;
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
    boolean held = true;
    for (int size : SIZES) {
      Row row = measure(size, seed);
      row.print();
      row.write(rows.addObject());
      held &= row.held();
    }
    result.put("bounds_held", held);
    System.out.println(
        "bounds: config 4000 ms, daemon leaving 2000 ms, endpoint leaving 3000 ms, sent and"
            + " received 20000 bytes/s, core 2.4 %, heal 4000 ms, none buried by a partition");
    System.out.println(result);
    return held ? 0 : 1;
  }

  private static Row measure(int size, long seed) {
    Fleet fleet = new Fleet(size, Math.max(MIN_ENDPOINTS, size), seed);
    Row row = new Row(size);
    fleet.run(WARM_UP);
    long version = 0;
    for (int i = 0; i < CHANGES; i++) {
      version++;
      row.config = Math.max(row.config, spreadConfig(fleet, version));
      row.endpoint = worst(row.endpoint, spreadNotice(fleet, "e-" + i));
      row.leaving = worst(row.leaving, spreadLeaving(fleet, i));
    }
    steady(fleet, row, version);
    version = fleet.nodes().get(0).config.get().version();
    row.heal = partition(fleet, row, version + 1);
    return row;
  }

  private static double worst(double old, double found) {
    return found < 0 ? Double.MAX_VALUE : Math.max(old, found);
  }

  // ---------------------------------------------------------------------------------------------
  // Spread of one change
  // ---------------------------------------------------------------------------------------------

  private static double spreadConfig(Fleet fleet, long version) {
    confirm(fleet.any(), version);
    return worst(0, fleet.spreadMillis(n -> n.config.get().version() >= version, LIMIT));
  }

  private static void confirm(Fleet.Node node, long version) {
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
    node.config.offer(List.of(entry));
  }

  private static double spreadNotice(Fleet fleet, String id) {
    fleet.any().core.onReclaimNotice(id, 1_000_000);
    return fleet.spreadMillis(n -> leaving(n, id), LIMIT);
  }

  private static double spreadLeaving(Fleet fleet, int index) {
    if (index >= fleet.nodes().size() / 2) {
      return 0;
    }
    Fleet.Node node = fleet.nodes().get(index);
    node.core.announceLeaving(1_000_000);
    return fleet.spreadMillis(n -> leaving(n, node.self.id()), LIMIT);
  }

  private static boolean leaving(Fleet.Node node, String id) {
    return node.core.health(id).filter(h -> h == Health.LEAVING).isPresent();
  }

  // ---------------------------------------------------------------------------------------------
  // Steady state and partition
  // ---------------------------------------------------------------------------------------------

  /** Runs with changes at the rate of the design size, scaled to this size. */
  private static void steady(Fleet fleet, Row row, long version) {
    int size = row.size;
    double configSeconds = 86_400.0 / 6_500;
    double memberSeconds = 86_400.0 / (2_340 * 3) * 880 / size;
    fleet.run(Duration.ofSeconds(3));
    fleet.traffic().reset();
    double nextConfig = configSeconds / 2;
    double nextMember = memberSeconds / 2;
    int member = CHANGES;
    for (int second = 0; second < STEADY.toSeconds(); second++) {
      if (second >= nextConfig) {
        nextConfig += configSeconds;
        confirm(fleet.nodes().get(0), ++version);
      }
      if (second >= nextMember && member < size) {
        nextMember += memberSeconds;
        fleet.any().core.onReclaimNotice("e-" + member++, 1_000_000);
      }
      fleet.run(Duration.ofSeconds(1));
    }
    Fleet.Traffic traffic = fleet.traffic();
    double daemonSeconds = size * (double) STEADY.toSeconds();
    row.messages = 2 * traffic.messages / daemonSeconds;
    row.bytes = 2 * traffic.bytes / daemonSeconds;
    row.exchangeMicros = traffic.handlingNanos / 1_000.0 / Math.max(1, traffic.exchanges);
    row.tickMicros = traffic.tickNanos / 1_000.0 / Math.max(1, traffic.ticks);
    double nanos = traffic.handlingNanos + traffic.tickNanos;
    row.corePercent = 100 * nanos / 1e9 / daemonSeconds;
  }

  /** Cuts one region off, confirms a change on the larger side, heals, and waits for it. */
  private static double partition(Fleet fleet, Row row, long version) {
    fleet.cut("region-0");
    fleet.run(Duration.ofSeconds(5));
    Fleet.Node outside =
        fleet.nodes().stream()
            .filter(n -> !n.self.domain().region().equals("region-0"))
            .findFirst()
            .orElseThrow();
    confirm(outside, version);
    fleet.run(PARTITION);
    fleet.cut("");
    double healed = fleet.spreadMillis(n -> n.config.get().version() >= version, LIMIT);
    fleet.run(Duration.ofSeconds(60));
    for (Fleet.Node node : fleet.nodes()) {
      for (Fleet.Node other : fleet.nodes()) {
        Health health = node.core.health(other.self.id()).orElse(Health.DEAD);
        if (health == Health.DEAD || health == Health.SUSPECT) {
          row.lostAfterHeal++;
        }
      }
    }
    return healed < 0 ? Double.MAX_VALUE : healed;
  }

  /** The figures of one size. */
  private static final class Row {
    private final int size;
    private double config;
    private double leaving;
    private double endpoint;
    private double messages;
    private double bytes;
    private double exchangeMicros;
    private double tickMicros;
    private double corePercent;
    private double heal;
    private long lostAfterHeal;

    private Row(int size) {
      this.size = size;
    }

    private boolean held() {
      return config <= CONFIG_BOUND_MILLIS
          && leaving <= DAEMON_LEAVING_BOUND_MILLIS
          && endpoint <= ENDPOINT_LEAVING_BOUND_MILLIS
          && bytes <= BYTES_PER_SECOND_BOUND
          && corePercent <= CORE_BOUND_PERCENT
          && heal <= CONFIG_BOUND_MILLIS
          && lostAfterHeal == 0;
    }

    private void print() {
      System.out.printf(
          Locale.ROOT,
          "%7d %12.0f %12.0f %12.0f %10.1f %10.0f %11.1f %9.2f %9.3f %9.0f%s%n",
          size,
          config,
          leaving,
          endpoint,
          messages,
          bytes,
          exchangeMicros,
          tickMicros,
          corePercent,
          heal,
          lostAfterHeal == 0 ? "" : "  not alive after healing: " + lostAfterHeal);
    }

    private void write(ObjectNode out) {
      out.put("daemons", size)
          .put("config_ms", config)
          .put("daemon_leaving_ms", leaving)
          .put("endpoint_leaving_ms", endpoint)
          .put("messages_per_second", messages)
          .put("bytes_per_second", bytes)
          .put("us_per_exchange", exchangeMicros)
          .put("us_per_tick", tickMicros)
          .put("core_percent", corePercent)
          .put("heal_ms", heal)
          .put("not_alive_after_heal", lostAfterHeal);
    }
  }
}
