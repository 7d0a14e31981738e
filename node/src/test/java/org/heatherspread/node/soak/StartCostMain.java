package org.heatherspread.node.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command-line entry point that measures the processor time of starting daemons, which run as
 * {@code deploy/system.toml} says, and prints one line of JSON. Stateless.
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
    final OptionSpec<String> out =
        parser
            .accepts("out", "folder for settings and logs of the daemons")
            .withRequiredArg()
            .defaultsTo("out/start-cost");
    OptionSet options = CommandLine.parseOrExit(parser, arguments);
    StartCost cost =
        StartCost.measure(
            command(),
            options.valueOf(daemons),
            options.valueOf(endpoints),
            Duration.ofSeconds(options.valueOf(idle)),
            Files.createDirectories(Path.of(options.valueOf(out))));
    System.out.printf(
        "{\"daemons\":%d,\"ready_cpu_ms\":%d,\"idle_cpu_ms\":%d}%n",
        options.valueOf(daemons), cost.ready().toMillis(), cost.idle().toMillis());
    System.exit(0);
  }

  private static OptionSpec<Integer> intOption(
      OptionParser parser, String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  private static List<String> command() throws Exception {
    Matcher matcher = COMMAND.matcher(Files.readString(DEPLOYMENT));
    if (!matcher.find()) {
      throw new IllegalStateException(DEPLOYMENT + " has no line of the form run = \"...\"");
    }
    return List.of(matcher.group(1).split(" "));
  }
}
