package org.heatherspread.node;

import ch.qos.logback.classic.LoggerContext;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Command-line entry point that starts one daemon from its settings file. Stateless. */
public final class NodeMain {
  private static final Logger log = LoggerFactory.getLogger(NodeMain.class);
  private static final String SETTINGS_FILE_VARIABLE = "HEATHERSPREAD_NODE_FILE";
  private static final String CONFIG = "config";
  private static final String CHECK = "check";
  private static final String HELP = "help";
  private static final String REHEARSE = "rehearse";
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILURE = 1;

  private NodeMain() {}

  /** Parses the options and starts the daemon, which runs until the process is stopped. */
  public static void main(String[] arguments) throws Exception {
    SettingsReloader.ignoreReloadSignal();
    OptionParser parser = new OptionParser();
    parser
        .accepts(
            CONFIG, "settings file; default: the file that " + SETTINGS_FILE_VARIABLE + " names")
        .withRequiredArg();
    parser.accepts(CHECK, "check the settings and exit");
    parser.accepts(REHEARSE, "start once on loopback and exit, to create a class-data archive");
    parser.accepts(HELP, "show this help").forHelp();
    OptionSet options;
    try {
      options = parser.parse(arguments);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      parser.printHelpOn(System.err);
      System.exit(EXIT_USAGE);
      return;
    }
    if (options.has(HELP)) {
      parser.printHelpOn(System.out);
      return;
    }
    if (options.has(REHEARSE)) {
      Rehearsal.run();
      System.exit(0);
      return;
    }
    String path =
        options.has(CONFIG)
            ? options.valueOf(CONFIG).toString()
            : System.getenv(SETTINGS_FILE_VARIABLE);
    if (path == null) {
      System.err.println("no settings file; pass --config or set " + SETTINGS_FILE_VARIABLE);
      System.exit(EXIT_USAGE);
      return;
    }
    run(Path.of(path), options.has(CHECK));
  }

  /** Stops a daemon and halts the virtual machine, which skips its remaining shutdown work. */
  private static void stop(Node node) {
    node.stop();
    stopLogging();
    Runtime.getRuntime().halt(0);
  }

  /** Flushes the queued log events. */
  private static void stopLogging() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  private static void run(Path path, boolean checkOnly) throws InterruptedException {
    NodeSettings settings;
    try {
      settings = NodeSettings.load(path);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
      return;
    }
    if (checkOnly) {
      System.out.println(path + " is valid");
      return;
    }
    SettingsReloader.create(path, settings).start();
    log.atInfo().addKeyValue("name", settings.name()).log("daemon starts");
    Node node = Node.create(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
    try {
      node.start();
    } catch (Exception e) {
      // Netty throws bind failures as undeclared checked exceptions. The threads that are already
      // running would keep a process alive that accepts no requests.
      log.atError().setCause(e).log("daemon cannot start");
      stopLogging();
      Runtime.getRuntime().halt(EXIT_FAILURE);
    }
    log.atInfo().addKeyValue("name", settings.name()).log("daemon started");
  }
}
