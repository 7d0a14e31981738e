package org.heatherspread.standin;

import ch.qos.logback.classic.Level;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.pekko.actor.typed.ActorSystem;
import org.heatherspread.standin.cloud.CloudSettings;
import org.heatherspread.standin.cloud.CloudStandin;
import org.heatherspread.standin.engine.EngineSettings;
import org.heatherspread.standin.engine.EngineStandin;
import org.heatherspread.standin.http.Standin;
import org.heatherspread.standin.http.StandinServer;
import org.heatherspread.standin.plain.PlainSettings;
import org.heatherspread.standin.plain.PlainStandin;
import org.heatherspread.standin.table.TableStandin;
import org.slf4j.LoggerFactory;

/**
 * Starts a stand-in, a simulator of the platform or of an endpoint for tests and benchmarks: {@code
 * StandinMain KIND [options]}. Prints {@code READY PORT} to standard output once it accepts
 * requests.
 *
 * <p>Not thread-safe; used by the main thread only.
 */
public final class StandinMain {
  private static final int USAGE_EXIT_CODE = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Void> help = parser.accepts("help", "shows this help").forHelp();
  private final OptionSpec<String> kind =
      parser.nonOptions("KIND: engine, plain, table or cloud").ofType(String.class);
  private final OptionSpec<String> host =
      textOption("host", "IP address to listen on", "127.0.0.1");
  private final OptionSpec<Integer> port = intOption("port", "TCP port; 0 selects a free port", 0);
  private final OptionSpec<String> id = textOption("id", "instance id", "standin");
  private final OptionSpec<Long> incarnation =
      parser
          .accepts("incarnation", "incarnation of the instance")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(System.currentTimeMillis());
  private final OptionSpec<String> executionLogPath =
      parser.accepts("ledger", "file for the execution log").withRequiredArg();
  private final OptionSpec<Integer> seed = intOption("seed", "seed of random faults", 1);
  private final OptionSpec<String> models = textOption("models", "SERVICE@VERSION,... or *", "*");
  private final OptionSpec<Integer> stepMillis =
      intOption("step-ms", "duration of a decoding step", 20);
  private final OptionSpec<Integer> maxBatch =
      intOption("max-batch", "maximum requests in a batch", 16);
  private final OptionSpec<Integer> maxWaiting =
      intOption("max-waiting", "maximum queued requests", 256);
  private final OptionSpec<Integer> prefillTokensPerStep =
      intOption("prefill-tokens", "tokens computed per step", 1_024);
  private final OptionSpec<Integer> maxContextTokens =
      intOption("context-tokens", "maximum prompt and answer tokens", 32_768);
  private final OptionSpec<Integer> cacheBlocks =
      intOption("cache-blocks", "capacity of the prefix cache", 4_096);
  private final OptionSpec<Integer> kvBytesPerToken =
      intOption("kv-bytes-per-token", "KV cache size of a token", 131_072);
  private final OptionSpec<Integer> kvMegabytesPerSecond =
      intOption("kv-megabytes-per-second", "bandwidth of a KV cache transfer", 1_000);
  private final OptionSpec<Integer> loadMillis =
      intOption("load-ms", "time to load a model version", 2_000);
  private final OptionSpec<String> fencing = textOption("fencing", "check or ignore", "check");
  private final OptionSpec<Integer> metricsLagMillis =
      intOption("metrics-lag-ms", "interval of load reports", 500);
  private final OptionSpec<Integer> eventDelayMillis =
      intOption("event-delay-ms", "delay of cache events", 300);
  private final OptionSpec<Double> eventLossProbability =
      parser
          .accepts("event-gap", "probability that a cache event is lost")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.01);
  private final OptionSpec<Integer> readMillis = intOption("read-ms", "duration of a read", 5);
  private final OptionSpec<Integer> writeMillis = intOption("write-ms", "duration of a write", 20);
  private final OptionSpec<Integer> listLagMillis =
      intOption("lag-ms", "age of the instance list", 500);
  private final OptionSpec<Integer> startMillis =
      intOption("start-ms", "time from start to live", 2_000);

  private StandinMain() {}

  /** Starts the stand-in that the arguments describe. */
  public static void main(String[] args) throws IOException {
    new StandinMain().run(args);
  }

  private OptionSpec<String> textOption(String name, String description, String defaultValue) {
    return parser.accepts(name, description).withRequiredArg().defaultsTo(defaultValue);
  }

  private OptionSpec<Integer> intOption(String name, String description, Integer defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private void run(String[] args) throws IOException {
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      usageError(e.getMessage());
      return;
    }
    if (options.has(help)) {
      parser.printHelpOn(System.out);
      return;
    }
    List<String> kinds = options.valuesOf(kind);
    if (kinds.size() != 1) {
      usageError("expected exactly one KIND");
      return;
    }
    Optional<Function<ActorSystem<Void>, Standin>> factory = createFactory(kinds.get(0), options);
    if (factory.isEmpty()) {
      usageError("unknown KIND " + kinds.get(0));
      return;
    }
    serve(options, factory.get());
  }

  private void serve(OptionSet options, Function<ActorSystem<Void>, Standin> factory) {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("ROOT")).setLevel(Level.WARN);
    StandinServer server =
        StandinServer.start(options.valueOf(host), options.valueOf(port), factory);
    System.out.println("READY " + server.port());
  }

  private static void usageError(String message) {
    System.err.println(message + "; see --help");
    System.exit(USAGE_EXIT_CODE);
  }

  private Optional<Function<ActorSystem<Void>, Standin>> createFactory(
      String kindName, OptionSet options) {
    return switch (kindName) {
      case "engine" ->
          Optional.of(
              s -> EngineStandin.create(s, engineSettings(options), openExecutionLog(options)));
      case "plain" ->
          Optional.of(
              s -> PlainStandin.create(s, plainSettings(options), openExecutionLog(options)));
      case "table" -> Optional.of(s -> TableStandin.create(s, options.valueOf(seed)));
      case "cloud" -> Optional.of(s -> CloudStandin.create(s, cloudSettings(options)));
      default -> Optional.empty();
    };
  }

  private ExecutionLog openExecutionLog(OptionSet options) {
    return ExecutionLog.open(
        options.has(executionLogPath) ? Path.of(options.valueOf(executionLogPath)) : null);
  }

  private EngineSettings engineSettings(OptionSet options) {
    return new EngineSettings(
        options.valueOf(id),
        options.valueOf(incarnation),
        Arrays.asList(options.valueOf(models).split(",")),
        options.valueOf(stepMillis),
        options.valueOf(maxBatch),
        options.valueOf(maxWaiting),
        options.valueOf(prefillTokensPerStep),
        options.valueOf(maxContextTokens),
        options.valueOf(cacheBlocks),
        options.valueOf(kvBytesPerToken),
        options.valueOf(kvMegabytesPerSecond) * 1_000_000L,
        options.valueOf(loadMillis),
        options.valueOf(fencing).equals("check"),
        options.valueOf(metricsLagMillis),
        options.valueOf(eventDelayMillis),
        options.valueOf(eventLossProbability),
        options.valueOf(seed));
  }

  private PlainSettings plainSettings(OptionSet options) {
    return new PlainSettings(
        options.valueOf(id),
        options.valueOf(readMillis),
        options.valueOf(writeMillis),
        options.valueOf(seed));
  }

  private CloudSettings cloudSettings(OptionSet options) {
    return new CloudSettings(
        options.valueOf(listLagMillis), options.valueOf(startMillis), options.valueOf(seed));
  }
}
