package org.heatherspread.bench.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.heatherspread.standin.StandinMain;

/**
 * What it costs to relay streams: processor time, added delay and memory of one daemon's request
 * path before stand-in engines on loopback.
 *
 * <p>The bound is ten times the design size of one daemon, 350 requests and 103,000 tokens a
 * second, on one core. The load offered is smaller, so that the rest of the machine does not
 * matter; processor time is taken as proportional to it.
 */
public final class RelayBench {
  private static final double TARGET_TOKENS = 103_000;
  private static final double TARGET_REQUESTS = 350;
  private static final int ENGINES = 4;
  private static final int SPREAD_MILLIS = 4_000;
  private static final int DIRECT_WARM_MILLIS = 12_000;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> seed = number("seed", "seed of the engines", 1);
  private final OptionSpec<Integer> streams = number("streams", "streams open at once", 340);
  private final OptionSpec<Integer> tokens = number("tokens", "tokens of an answer", 294);
  private final OptionSpec<Integer> step = number("step-ms", "time between tokens", 33);
  private final OptionSpec<Integer> warm =
      number("warm-ms", "time before measuring the relay", 60_000);
  private final OptionSpec<Integer> time = number("time-ms", "time of measuring", 15_000);
  private final OptionSpec<Void> memory = parser.accepts("memory", "measures memory as well");

  private RelayBench() {}

  /** Runs the measurement; 0 if the bounds held. */
  public static int run(String[] args) throws IOException {
    RelayBench bench = new RelayBench();
    return bench.measure(bench.parser.parse(args));
  }

  private OptionSpec<Integer> number(String name, String purpose, int fallback) {
    return parser
        .accepts(name, purpose)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(fallback);
  }

  private int measure(OptionSet options) throws IOException {
    List<MeasuredProcess> engines = new ArrayList<>();
    try {
      int count = options.valueOf(streams);
      startEngines(engines, options.valueOf(step), options.valueOf(seed));
      StreamLoad.Figures direct = direct(engines, count, options);
      ObjectNode result = new ObjectMapper().createObjectNode();
      result.put("bench", "relay").put("seed", options.valueOf(seed)).put("streams", count);
      boolean held = relayed(engines, count, options, direct, result);
      if (options.has(memory)) {
        stop(engines);
        startEngines(engines, 1_000, options.valueOf(seed));
        memory(engines, 1_000, result);
        memory(engines, 5_000, result);
      }
      System.out.println(result);
      return held ? 0 : 1;
    } finally {
      stop(engines);
    }
  }

  private static void startEngines(List<MeasuredProcess> engines, int stepMillis, int seed)
      throws IOException {
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          MeasuredProcess.start(
              List.of("-Xmx384m"),
              StandinMain.class.getName(),
              "engine",
              "--id",
              "e" + i,
              "--step-ms",
              Integer.toString(stepMillis),
              "--max-batch",
              "4096",
              "--max-waiting",
              "8192",
              "--prefill-tokens",
              "1000000",
              "--seed",
              Integer.toString(seed + i)));
    }
  }

  private static void stop(List<MeasuredProcess> engines) {
    engines.forEach(MeasuredProcess::close);
    engines.clear();
  }

  private static int[] ports(List<MeasuredProcess> engines) {
    return engines.stream().mapToInt(MeasuredProcess::port).toArray();
  }

  private static MeasuredProcess relay(List<MeasuredProcess> engines) throws IOException {
    String[] ports = engines.stream().map(e -> Integer.toString(e.port())).toArray(String[]::new);
    return MeasuredProcess.start(relayOptions(), RelayProcess.class.getName(), ports);
  }

  /** Returns the options of the relay's process; the environment may add some, for a profiler. */
  private static List<String> relayOptions() {
    List<String> options = new ArrayList<>(List.of("-Xmx512m"));
    String more = System.getenv("RELAY_JAVA_OPTIONS");
    if (more != null) {
      options.addAll(List.of(more.split(" ")));
    }
    return options;
  }

  private StreamLoad.Figures direct(List<MeasuredProcess> engines, int count, OptionSet options)
      throws IOException {
    try (StreamLoad load = StreamLoad.create(ports(engines), options.valueOf(tokens), true)) {
      load.open(count, SPREAD_MILLIS);
      load.run(DIRECT_WARM_MILLIS);
      return load.run(options.valueOf(time));
    }
  }

  // ---- relaying ----

  private boolean relayed(
      List<MeasuredProcess> engines,
      int count,
      OptionSet options,
      StreamLoad.Figures direct,
      ObjectNode result)
      throws IOException {
    try (MeasuredProcess relay = relay(engines);
        StreamLoad load =
            StreamLoad.create(new int[] {relay.port()}, options.valueOf(tokens), false)) {
      load.open(count, SPREAD_MILLIS);
      load.run(options.valueOf(warm));
      final double before = relay.cpuSeconds();
      StreamLoad.Figures figures = load.run(options.valueOf(time));
      double cpu = relay.cpuSeconds() - before;
      double seconds = options.valueOf(time) / 1_000.0;
      return report(figures, direct, cpu, seconds, result);
    }
  }

  private static boolean report(
      StreamLoad.Figures relayed,
      StreamLoad.Figures direct,
      double cpu,
      double seconds,
      ObjectNode result) {
    final double tokensPerCore = relayed.tokens / cpu;
    final double requestsPerCore = relayed.answers / cpu;
    System.out.printf("%-34s %12s %12s%n", "", "direct", "relayed");
    row("tokens/s", direct.tokens / seconds, relayed.tokens / seconds);
    row("answers/s", direct.answers / seconds, relayed.answers / seconds);
    row("failures", direct.failures, relayed.failures);
    for (double p : new double[] {50, 95, 99}) {
      percentile("first token", "first_token", p, direct.firstToken, relayed.firstToken, result);
      percentile("inter token", "inter_token", p, direct.interToken, relayed.interToken, result);
    }
    System.out.printf(
        "cores used %.3f; microseconds a token %.1f%n", cpu / seconds, cpu * 1e6 / relayed.tokens);
    System.out.printf("tokens/s per core %.0f (bound %.0f)%n", tokensPerCore, TARGET_TOKENS);
    System.out.printf("answers/s per core %.1f (bound %.0f)%n", requestsPerCore, TARGET_REQUESTS);
    result.put("tokens_per_second", relayed.tokens / seconds);
    result.put("cores", cpu / seconds);
    result.put("tokens_per_core_second", tokensPerCore);
    result.put("answers_per_core_second", requestsPerCore);
    result.put("failures", relayed.failures);
    boolean held =
        tokensPerCore >= TARGET_TOKENS
            && requestsPerCore >= TARGET_REQUESTS
            && relayed.failures == 0;
    result.put("bounds_held", held);
    return held;
  }

  private static void row(String name, double direct, double relayed) {
    System.out.printf("%-34s %12.1f %12.1f%n", name, direct, relayed);
  }

  private static void percentile(
      String name, String key, double p, Histogram direct, Histogram relayed, ObjectNode result) {
    double first = direct.getValueAtPercentile(p) / 1_000.0;
    double second = relayed.getValueAtPercentile(p) / 1_000.0;
    row(name + " p" + (int) p + " ms", first, second);
    result.put(key + "_p" + (int) p + "_ms_direct", first);
    result.put(key + "_p" + (int) p + "_ms_relayed", second);
  }

  // ---- memory ----

  private static void memory(List<MeasuredProcess> engines, int count, ObjectNode result)
      throws IOException {
    try (MeasuredProcess relay = relay(engines);
        StreamLoad load = StreamLoad.create(new int[] {relay.port()}, 1_000, false)) {
      load.open(count, 8_000);
      StreamLoad.Figures figures = load.run(20_000);
      double resident = relay.residentMegabytes();
      System.out.printf(
          "resident memory with %d open streams: %.0f MB (failures %d, tokens %d)%n",
          count, resident, figures.failures, figures.tokens);
      result.put("resident_mb_" + count + "_streams", resident);
    }
  }
}
