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
 * Measures the CPU time, added latency and memory of relaying streams through the request path of
 * one daemon to stand-in engines on loopback.
 *
 * <p>The bounds for one core are 350 requests and 103,000 tokens per second, ten times the design
 * load of one daemon. The offered load is smaller, so that other processes on the machine do not
 * affect the result; throughput per core is extrapolated, assuming that CPU time is proportional to
 * load.
 *
 * <p>Not thread-safe.
 */
public final class RelayBench {
  private static final double MIN_TOKENS_PER_CORE_SECOND = 103_000;
  private static final double MIN_REQUESTS_PER_CORE_SECOND = 350;
  private static final int ENGINES = 4;
  private static final int RAMP_UP_MILLIS = 4_000;
  private static final int DIRECT_WARM_UP_MILLIS = 12_000;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> seedOption = intOption("seed", "seed of the engines", 1);
  private final OptionSpec<Integer> streamsOption =
      intOption("streams", "number of concurrent streams", 340);
  private final OptionSpec<Integer> tokensOption =
      intOption("tokens", "number of tokens of an answer", 294);
  private final OptionSpec<Integer> stepMillisOption =
      intOption("step-ms", "time between tokens in milliseconds", 33);
  private final OptionSpec<Integer> warmUpMillisOption =
      intOption("warm-ms", "warm-up time of the relay in milliseconds", 60_000);
  private final OptionSpec<Integer> measurementMillisOption =
      intOption("time-ms", "measurement time in milliseconds", 15_000);
  private final OptionSpec<Void> memoryOption =
      parser.accepts("memory", "also measure resident memory");

  private RelayBench() {}

  /** Runs the measurement; returns 0 if all bounds hold, otherwise 1. */
  public static int run(String[] args) throws IOException {
    RelayBench bench = new RelayBench();
    return bench.measure(bench.parser.parse(args));
  }

  private OptionSpec<Integer> intOption(String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private int measure(OptionSet options) throws IOException {
    List<MeasuredProcess> engines = new ArrayList<>();
    try {
      int streamCount = options.valueOf(streamsOption);
      startEngines(engines, options.valueOf(stepMillisOption), options.valueOf(seedOption));
      StreamLoadGenerator.Measurements direct = measureDirect(engines, streamCount, options);
      ObjectNode result = new ObjectMapper().createObjectNode();
      result
          .put("bench", "relay")
          .put("seed", options.valueOf(seedOption))
          .put("streams", streamCount);
      boolean boundsHeld = measureRelayed(engines, streamCount, options, direct, result);
      if (options.has(memoryOption)) {
        stopEngines(engines);
        startEngines(engines, 1_000, options.valueOf(seedOption));
        measureMemory(engines, 1_000, result);
        measureMemory(engines, 5_000, result);
      }
      System.out.println(result);
      return boundsHeld ? 0 : 1;
    } finally {
      stopEngines(engines);
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

  private static void stopEngines(List<MeasuredProcess> engines) {
    engines.forEach(MeasuredProcess::close);
    engines.clear();
  }

  private static int[] ports(List<MeasuredProcess> engines) {
    return engines.stream().mapToInt(MeasuredProcess::port).toArray();
  }

  private static MeasuredProcess startRelay(List<MeasuredProcess> engines) throws IOException {
    String[] ports = engines.stream().map(e -> Integer.toString(e.port())).toArray(String[]::new);
    return MeasuredProcess.start(relayOptions(), RelayProcess.class.getName(), ports);
  }

  /**
   * Returns the JVM options of the relay process. {@code RELAY_JAVA_OPTIONS} may add more, for
   * example to attach a profiler.
   */
  private static List<String> relayOptions() {
    List<String> options = new ArrayList<>(List.of("-Xmx512m"));
    String extraOptions = System.getenv("RELAY_JAVA_OPTIONS");
    if (extraOptions != null) {
      options.addAll(List.of(extraOptions.split(" ")));
    }
    return options;
  }

  private StreamLoadGenerator.Measurements measureDirect(
      List<MeasuredProcess> engines, int streamCount, OptionSet options) throws IOException {
    try (StreamLoadGenerator load =
        StreamLoadGenerator.create(ports(engines), options.valueOf(tokensOption), true)) {
      load.openStreams(streamCount, RAMP_UP_MILLIS);
      load.measure(DIRECT_WARM_UP_MILLIS);
      return load.measure(options.valueOf(measurementMillisOption));
    }
  }

  private boolean measureRelayed(
      List<MeasuredProcess> engines,
      int streamCount,
      OptionSet options,
      StreamLoadGenerator.Measurements direct,
      ObjectNode result)
      throws IOException {
    try (MeasuredProcess relay = startRelay(engines);
        StreamLoadGenerator load =
            StreamLoadGenerator.create(
                new int[] {relay.port()}, options.valueOf(tokensOption), false)) {
      load.openStreams(streamCount, RAMP_UP_MILLIS);
      load.measure(options.valueOf(warmUpMillisOption));
      final double cpuSecondsBefore = relay.cpuSeconds();
      StreamLoadGenerator.Measurements measurements =
          load.measure(options.valueOf(measurementMillisOption));
      double usedCpuSeconds = relay.cpuSeconds() - cpuSecondsBefore;
      double seconds = options.valueOf(measurementMillisOption) / 1_000.0;
      return report(measurements, direct, usedCpuSeconds, seconds, result);
    }
  }

  private static boolean report(
      StreamLoadGenerator.Measurements relayed,
      StreamLoadGenerator.Measurements direct,
      double usedCpuSeconds,
      double seconds,
      ObjectNode result) {
    final double tokensPerCoreSecond = relayed.tokens / usedCpuSeconds;
    final double requestsPerCoreSecond = relayed.responses / usedCpuSeconds;
    System.out.printf("%-34s %12s %12s%n", "", "direct", "relayed");
    printRow("tokens/s", direct.tokens / seconds, relayed.tokens / seconds);
    printRow("answers/s", direct.responses / seconds, relayed.responses / seconds);
    printRow("failures", direct.failures, relayed.failures);
    for (double percentile : new double[] {50, 95, 99}) {
      reportPercentile(
          "first token", "first_token", percentile, direct.firstToken, relayed.firstToken, result);
      reportPercentile(
          "inter token", "inter_token", percentile, direct.interToken, relayed.interToken, result);
    }
    System.out.printf(
        "cores used %.3f; microseconds a token %.1f%n",
        usedCpuSeconds / seconds, usedCpuSeconds * 1e6 / relayed.tokens);
    System.out.printf(
        "tokens/s per core %.0f (bound %.0f)%n", tokensPerCoreSecond, MIN_TOKENS_PER_CORE_SECOND);
    System.out.printf(
        "answers/s per core %.1f (bound %.0f)%n",
        requestsPerCoreSecond, MIN_REQUESTS_PER_CORE_SECOND);
    result.put("tokens_per_second", relayed.tokens / seconds);
    result.put("cores", usedCpuSeconds / seconds);
    result.put("tokens_per_core_second", tokensPerCoreSecond);
    result.put("answers_per_core_second", requestsPerCoreSecond);
    result.put("failures", relayed.failures);
    boolean boundsHeld =
        tokensPerCoreSecond >= MIN_TOKENS_PER_CORE_SECOND
            && requestsPerCoreSecond >= MIN_REQUESTS_PER_CORE_SECOND
            && relayed.failures == 0;
    result.put("bounds_held", boundsHeld);
    return boundsHeld;
  }

  private static void printRow(String name, double direct, double relayed) {
    System.out.printf("%-34s %12.1f %12.1f%n", name, direct, relayed);
  }

  private static void reportPercentile(
      String name,
      String key,
      double percentile,
      Histogram direct,
      Histogram relayed,
      ObjectNode result) {
    double directMillis = direct.getValueAtPercentile(percentile) / 1_000.0;
    double relayedMillis = relayed.getValueAtPercentile(percentile) / 1_000.0;
    printRow(name + " p" + (int) percentile + " ms", directMillis, relayedMillis);
    result.put(key + "_p" + (int) percentile + "_ms_direct", directMillis);
    result.put(key + "_p" + (int) percentile + "_ms_relayed", relayedMillis);
  }

  private static void measureMemory(
      List<MeasuredProcess> engines, int streamCount, ObjectNode result) throws IOException {
    try (MeasuredProcess relay = startRelay(engines);
        StreamLoadGenerator load =
            StreamLoadGenerator.create(new int[] {relay.port()}, 1_000, false)) {
      load.openStreams(streamCount, 8_000);
      StreamLoadGenerator.Measurements measurements = load.measure(20_000);
      double resident = relay.residentMegabytes();
      System.out.printf(
          "resident memory with %d open streams: %.0f MB (failures %d, tokens %d)%n",
          streamCount, resident, measurements.failures, measurements.tokens);
      result.put("resident_mb_" + streamCount + "_streams", resident);
    }
  }
}
