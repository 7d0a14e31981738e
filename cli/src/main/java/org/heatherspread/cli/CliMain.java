package org.heatherspread.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.cli.impl.CliContext;
import org.heatherspread.cli.impl.Command;
import org.heatherspread.cli.impl.CommandRegistry;
import org.heatherspread.cli.impl.OperatorClient;
import org.heatherspread.cli.impl.Printer;
import org.heatherspread.cli.impl.UsageException;
import org.heatherspread.settings.SettingsException;

/**
 * Runs the operators' command-line tool: {@code heatherspread COMMAND [OPTIONS]}.
 *
 * <p>Stateless and thread-safe.
 */
public final class CliMain {
  private CliMain() {}

  /** Runs a command and exits the process with its status. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err).code());
  }

  /** Runs a command and returns its status. */
  public static ExitStatus run(String[] args, PrintStream out, PrintStream err) {
    List<String> arguments = new ArrayList<>(Arrays.asList(args));
    Optional<Command> command = CommandRegistry.resolve(arguments);
    if (command.isEmpty()) {
      boolean help = arguments.contains("--help") || arguments.contains("help");
      (help ? out : err).print(CommandRegistry.usage());
      return help ? ExitStatus.OK : ExitStatus.USAGE;
    }
    try {
      return execute(command.get(), arguments, out);
    } catch (OptionException | UsageException | SettingsException e) {
      err.println(e.getMessage());
      err.println("see: heatherspread " + command.get().name() + " --help");
      return ExitStatus.USAGE;
    } catch (IOException e) {
      err.println("no daemon could be reached: " + e.getMessage());
      return ExitStatus.UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitStatus.UNREACHABLE;
    }
  }

  private static ExitStatus execute(Command command, List<String> arguments, PrintStream out)
      throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "show the options of this command").forHelp();
    parser.accepts("config", "settings file").withRequiredArg();
    parser.accepts("daemon", "base URL of a daemon; may be repeated").withRequiredArg();
    parser.accepts("key", "the operator's key").withRequiredArg();
    parser.accepts("json", "print JSON");
    command.declareOptions(parser);
    OptionSet options = parser.parse(arguments.toArray(String[]::new));
    if (options.has("help")) {
      out.println("heatherspread " + command.name() + " " + command.summary());
      parser.printHelpOn(out);
      return ExitStatus.OK;
    }
    CliSettings settings = loadSettings(options);
    Printer printer = Printer.create(out, options.has("json"));
    return command.run(options, new CliContext(OperatorClient.create(settings), printer));
  }

  private static CliSettings loadSettings(OptionSet options) {
    CliSettings settings =
        options.has("config")
            ? CliSettings.load(Path.of(options.valueOf("config").toString()))
            : CliSettings.defaults();
    if (options.has("daemon")) {
      settings =
          settings.withDaemons(
              options.valuesOf("daemon").stream().map(url -> URI.create(url.toString())).toList());
    }
    return options.has("key") ? settings.withKey(options.valueOf("key").toString()) : settings;
  }
}
