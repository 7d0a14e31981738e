package org.heatherspread.node.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Runs the soak for some seeds and prints one line of JSON for each; ends with 1 if any failed. */
final class SoakMain {
  private static final int USAGE = 2;

  private SoakMain() {}

  /** Runs the seeds asked for, one after the other. */
  public static void main(String[] arguments) throws Exception {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser.accepts("seed", "first seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    final OptionSpec<Integer> seeds =
        parser.accepts("seeds", "how many").withRequiredArg().ofType(Integer.class).defaultsTo(1);
    final OptionSpec<Integer> daemons =
        parser
            .accepts("daemons", "processes")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(5);
    final OptionSpec<Long> seconds =
        parser
            .accepts("seconds", "time in which faults are injected")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(20L);
    final OptionSpec<String> out =
        parser
            .accepts("out", "folder for settings and logs of the daemons")
            .withRequiredArg()
            .defaultsTo("out/soak");
    parser.accepts("help", "show this").forHelp();
    OptionSet options;
    try {
      options = parser.parse(arguments);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      parser.printHelpOn(System.err);
      System.exit(USAGE);
      return;
    }
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      return;
    }
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
              folder);
      System.out.println(new ObjectMapper().writeValueAsString(result));
      failed += result.broken().isEmpty() ? 0 : 1;
    }
    System.out.println("{\"seeds\":" + seeds.value(options) + ",\"failed\":" + failed + "}");
    System.exit(failed == 0 ? 0 : 1);
  }
}
