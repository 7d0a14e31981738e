package org.heatherspread.bench.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.heatherspread.bench.caller.CallReport;
import org.heatherspread.bench.caller.CheckResult;
import org.heatherspread.bench.process.Deployment;
import org.heatherspread.bench.process.JsonHttpClient;
import org.heatherspread.bench.process.ProcessGroup;

/**
 * Runs the demonstration. For each of the two example deployments it starts stand-ins and three
 * daemons in three failure domains, confirms a configuration with the command-line tool, sends some
 * calls, and announces a reclaim in the middle of a stream. The last line of output is one JSON
 * object; the exit status is 0 only if every invariant held.
 *
 * <p>Not thread-safe.
 */
public final class DemoMain {
  private static final int USAGE_ERROR = 2;

  private DemoMain() {}

  /** Runs the demonstration and exits with its status. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser
            .accepts("seed", "seed of the generated calls")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    parser.accepts("help", "prints this help").forHelp();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (joptsimple.OptionException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(USAGE_ERROR);
      return;
    }
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      return;
    }
    System.exit(run(options.valueOf(seed)) ? 0 : 1);
  }

  private static boolean run(long seed) throws IOException {
    Path dir = Files.createTempDirectory("heatherspread-demo");
    System.out.println("logs and ledgers: " + dir);
    DemoTotals totals = new DemoTotals();
    for (Deployment deployment : List.of(Deployment.patikoop(), Deployment.oberland())) {
      try (ProcessGroup group = ProcessGroup.create(dir)) {
        DemoRun run = DemoRun.create(deployment, group, seed);
        CheckResult result = run.run(DemoMain::print);
        result.faults().forEach(f -> System.out.println("  note: " + f));
        totals.add(result, run.cost());
      }
    }
    System.out.println(JsonHttpClient.mapper().valueToTree(totals.toJson(seed)).toString());
    return totals.invariantsHold();
  }

  private static synchronized void print(CallReport report) {
    System.out.printf(
        Locale.ROOT,
        "  %3d %-20s %-9s %5d ms  tries %d resumes %d  %s%n",
        report.spec().number(),
        report.spec().title(),
        report.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' '),
        report.totalMillis(),
        report.tries(),
        report.resumes(),
        report.requestIds().isEmpty()
            ? ""
            : report.requestIds().get(report.requestIds().size() - 1));
  }
}
