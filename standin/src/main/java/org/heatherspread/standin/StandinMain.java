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
 * Starts one stand-in for the platform or an endpoint: {@code StandinMain KIND [options]}. Prints
 * {@code READY PORT} once it answers.
 */
public final class StandinMain {
  private static final int USAGE_STATUS = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Void> help = parser.accepts("help", "prints this").forHelp();
  private final OptionSpec<String> kinds =
      parser.nonOptions("KIND: engine, plain, table or cloud").ofType(String.class);
  private final OptionSpec<String> host = text("host", "IP number to listen on", "127.0.0.1");
  private final OptionSpec<Integer> port = number("port", "TCP port; 0 takes a free one", 0);
  private final OptionSpec<String> id = text("id", "instance id", "standin");
  private final OptionSpec<Long> incarnation =
      parser
          .accepts("incarnation", "number of this start")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(System.currentTimeMillis());
  private final OptionSpec<String> ledger =
      parser.accepts("ledger", "file for the record of runs").withRequiredArg();
  private final OptionSpec<Integer> seed = number("seed", "seed of random faults", 1);
  private final OptionSpec<String> models = text("models", "SERVICE@VERSION,... or *", "*");
  private final OptionSpec<Integer> stepMs = number("step-ms", "decoding step", 20);
  private final OptionSpec<Integer> maxBatch = number("max-batch", "requests at once", 16);
  private final OptionSpec<Integer> maxWaiting = number("max-waiting", "requests waiting", 256);
  private final OptionSpec<Integer> prefill = number("prefill-tokens", "tokens in a step", 1_024);
  private final OptionSpec<Integer> context = number("context-tokens", "longest context", 32_768);
  private final OptionSpec<Integer> cache = number("cache-blocks", "prefix cache size", 4_096);
  private final OptionSpec<Integer> kvBytes = number("kv-bytes-per-token", "KV size", 131_072);
  private final OptionSpec<Integer> kvRate =
      number("kv-megabytes-per-second", "bandwidth of a KV transfer", 1_000);
  private final OptionSpec<Integer> loadMs = number("load-ms", "time to load a version", 2_000);
  private final OptionSpec<String> fencing = text("fencing", "check or ignore", "check");
  private final OptionSpec<Integer> metricsLag = number("metrics-lag-ms", "age of load", 500);
  private final OptionSpec<Integer> eventDelay = number("event-delay-ms", "of cache events", 300);
  private final OptionSpec<Double> eventGap =
      parser
          .accepts("event-gap", "probability that a cache event is lost")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.01);
  private final OptionSpec<Integer> readMs = number("read-ms", "run time of a read", 5);
  private final OptionSpec<Integer> writeMs = number("write-ms", "run time of a write", 20);
  private final OptionSpec<Integer> lagMs = number("lag-ms", "lag of the instance list", 500);
  private final OptionSpec<Integer> startMs = number("start-ms", "time to start", 2_000);

  private StandinMain() {}

  /** Starts the stand-in that the arguments describe. */
  public static void main(String[] args) throws IOException {
    new StandinMain().run(args);
  }

  private OptionSpec<String> text(String name, String purpose, String fallback) {
    return parser.accepts(name, purpose).withRequiredArg().defaultsTo(fallback);
  }

  private OptionSpec<Integer> number(String name, String purpose, Integer fallback) {
    return parser
        .accepts(name, purpose)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(fallback);
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
    List<String> named = options.valuesOf(kinds);
    if (named.size() != 1) {
      usageError("exactly one KIND is expected");
      return;
    }
    Optional<Function<ActorSystem<Void>, Standin>> factory = factory(named.get(0), options);
    if (factory.isEmpty()) {
      usageError("unknown KIND " + named.get(0));
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
    System.exit(USAGE_STATUS);
  }

  private Optional<Function<ActorSystem<Void>, Standin>> factory(String kind, OptionSet options) {
    return switch (kind) {
      case "engine" ->
          Optional.of(s -> EngineStandin.create(s, engineSettings(options), ledger(options)));
      case "plain" ->
          Optional.of(s -> PlainStandin.create(s, plainSettings(options), ledger(options)));
      case "table" -> Optional.of(s -> TableStandin.create(s, options.valueOf(seed)));
      case "cloud" -> Optional.of(s -> CloudStandin.create(s, cloudSettings(options)));
      default -> Optional.empty();
    };
  }

  private Ledger ledger(OptionSet options) {
    return Ledger.open(options.has(ledger) ? Path.of(options.valueOf(ledger)) : null);
  }

  private EngineSettings engineSettings(OptionSet options) {
    return new EngineSettings(
        options.valueOf(id),
        options.valueOf(incarnation),
        Arrays.asList(options.valueOf(models).split(",")),
        options.valueOf(stepMs),
        options.valueOf(maxBatch),
        options.valueOf(maxWaiting),
        options.valueOf(prefill),
        options.valueOf(context),
        options.valueOf(cache),
        options.valueOf(kvBytes),
        options.valueOf(kvRate) * 1_000_000L,
        options.valueOf(loadMs),
        options.valueOf(fencing).equals("check"),
        options.valueOf(metricsLag),
        options.valueOf(eventDelay),
        options.valueOf(eventGap),
        options.valueOf(seed));
  }

  private PlainSettings plainSettings(OptionSet options) {
    return new PlainSettings(
        options.valueOf(id),
        options.valueOf(readMs),
        options.valueOf(writeMs),
        options.valueOf(seed));
  }

  private CloudSettings cloudSettings(OptionSet options) {
    return new CloudSettings(
        options.valueOf(lagMs), options.valueOf(startMs), options.valueOf(seed));
  }
}
