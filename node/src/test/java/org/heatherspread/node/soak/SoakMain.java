package org.heatherspread.node.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command-line entry point that runs the soak test for a range of seeds and prints one line of JSON
 * for each. The exit status is 1 if any seed failed. Stateless.
 */
final class SoakMain {
  private SoakMain() {}

  /** Runs the requested seeds one after the other. */
  public static void main(String[] arguments) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser.accepts("seed", "first seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    final OptionSpec<Integer> seeds =
        parser
            .accepts("seeds", "number of seeds")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(1);
    final OptionSpec<Integer> daemons =
        parser
            .accepts("daemons", "number of daemon processes")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(5);
    final OptionSpec<Long> seconds =
        parser
            .accepts("seconds", "duration of fault injection in seconds")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(20L);
    final OptionSpec<String> out =
        parser
            .accepts("out", "folder for settings and logs of the daemons")
            .withRequiredArg()
            .defaultsTo("out/soak");
    final OptionSpec<String> kinds =
        parser
            .accepts(
                "kinds",
                "base: faults of the first version only; all: all faults; or a further kind")
            .withRequiredArg()
            .defaultsTo("all");
    OptionSet options = CommandLine.parseOrExit(parser, arguments);
    int failed = 0;
    for (long each = seed.value(options);
        each < seed.value(options) + seeds.value(options);
        each++) {
      Path folder = Files.createDirectories(Path.of(out.value(options), "seed-" + each));
      SoakRun.Result result =
          SoakRun.run(
              each,
              daemons.value(options),
              TimeUnit.SECONDS.toMillis(seconds.value(options)),
              folder,
              schedule(kinds.value(options), each));
      System.out.println(new ObjectMapper().writeValueAsString(result));
      failed += result.broken().isEmpty() ? 0 : 1;
    }
    System.out.println("{\"seeds\":" + seeds.value(options) + ",\"failed\":" + failed + "}");
    System.exit(failed == 0 ? 0 : 1);
  }

  private static FaultSchedule schedule(String kinds, long seed) {
    return switch (kinds) {
      case "base" -> FaultSchedule.base(seed);
      case "all" -> FaultSchedule.all(seed);
      default -> FaultSchedule.only(FaultKind.valueOf(kinds.toUpperCase(Locale.ROOT)));
    };
  }
}
