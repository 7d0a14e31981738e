package org.heatherspread.node.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command-line entry point that measures the processor time of starting daemons, and of requests to
 * them, which run as {@code deploy/system.toml} says, and prints one line of JSON. Stateless.
 */
final class StartCostMain {
  private static final Path DEPLOYMENT = Path.of("deploy", "system.toml");
  private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"(.+)\"$");

  private StartCostMain() {}

  /** Measures one fleet. */
  public static void main(String[] arguments) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Integer> daemons = intOption(parser, "daemons", "number of processes", 8);
    final OptionSpec<Integer> endpoints = intOption(parser, "endpoints", "number of endpoints", 65);
    final OptionSpec<Integer> idle = intOption(parser, "idle", "seconds after all are ready", 20);
    final OptionSpec<Double> rate =
        parser
            .accepts("rate", "requests per second to each daemon, 0 for none")
            .withRequiredArg()
            .ofType(Double.class)
            .defaultsTo(0.0);
    final OptionSpec<Integer> seconds =
        intOption(parser, "seconds", "time for which requests are sent after the first ones", 30);
    final OptionSpec<String> out =
        parser
            .accepts("out", "folder for settings and logs of the daemons")
            .withRequiredArg()
            .defaultsTo("out/start-cost");
    OptionSet options = CommandLine.parseOrExit(parser, arguments);
    Path folder = Files.createDirectories(Path.of(options.valueOf(out)));
    Duration idleTime = Duration.ofSeconds(options.valueOf(idle));
    int daemonCount = options.valueOf(daemons);
    if (options.valueOf(rate) > 0) {
      RequestCost cost =
          RequestCost.measure(
              keepingCompilerThreads(command()),
              daemonCount,
              options.valueOf(endpoints),
              idleTime,
              options.valueOf(rate),
              Duration.ofSeconds(options.valueOf(seconds)),
              folder);
      System.out.printf(
          "{\"daemons\":%d,\"ready_ms\":%s,\"idle_second_ms\":%s,\"cold_request_ms\":%s,"
              + "\"warm_request_ms\":%s,\"answered\":%d,\"failed\":%d}%n",
          daemonCount,
          json(cost.ready()),
          json(cost.idleSecond()),
          json(cost.cold()),
          json(cost.warm()),
          cost.answered(),
          cost.failed());
      System.exit(0);
    }
    StartCost cost =
        StartCost.measure(command(), daemonCount, options.valueOf(endpoints), idleTime, folder);
    System.out.printf(
        "{\"daemons\":%d,\"ready_cpu_ms\":%d,\"idle_cpu_ms\":%d}%n",
        daemonCount, cost.ready().toMillis(), cost.idle().toMillis());
    System.exit(0);
  }

  private static String json(ThreadCosts costs) {
    return String.format(
        Locale.ROOT,
        "{\"all\":%.2f,\"code\":%.2f,\"compiler\":%.2f,\"collector\":%.2f}",
        costs.totalMillis(),
        costs.codeMillis(),
        costs.compilerMillis(),
        costs.collectorMillis());
  }

  private static OptionSpec<Integer> intOption(
      OptionParser parser, String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private static List<String> keepingCompilerThreads(List<String> command) {
    List<String> words = new ArrayList<>(command);
    words.add(1, "-XX:-UseDynamicNumberOfCompilerThreads");
    return words;
  }

  private static List<String> command() throws Exception {
    Matcher matcher = COMMAND.matcher(Files.readString(DEPLOYMENT));
    if (!matcher.find()) {
      throw new IllegalStateException(DEPLOYMENT + " has no line of the form run = \"...\"");
    }
    return List.of(matcher.group(1).split(" "));
  }
}
