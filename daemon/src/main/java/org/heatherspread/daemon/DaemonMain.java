package org.heatherspread.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.heatherspread.daemon.settings.DaemonSettingsFile;
import org.heatherspread.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entry point of the daemon: {@code heatherspread-daemon --config FILE}. A stop signal drains the
 * daemon before it exits.
 *
 * <p>Stateless.
 */
public final class DaemonMain {
  private static final Logger logger = LoggerFactory.getLogger(DaemonMain.class);
  private static final int START_FAILED = 1;
  private static final int USAGE_ERROR = 2;

  private DaemonMain() {}

  /**
   * Runs the daemon until it is stopped; exits with status 2 if the options or settings are
   * invalid.
   */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    parser.accepts("config", "settings file (TOML)").withRequiredArg();
    parser.accepts("check", "check the settings, print all problems, and exit");
    parser.accepts("settings", "print every setting with its type and default, and exit");
    parser.accepts("help", "show this help").forHelp();
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_ERROR);
      return;
    }
    if (options.has("settings")) {
      printSettings();
      System.exit(0);
    }
    if (options.has("help") || !options.has("config")) {
      parser.printHelpOn(options.has("help") ? System.out : System.err);
      System.exit(options.has("help") ? 0 : USAGE_ERROR);
    }
    DaemonSettingsFile file = load(Path.of(options.valueOf("config").toString()));
    if (options.has("check")) {
      System.out.println("the settings are valid");
      System.exit(0);
    }
    run(file);
  }

  private static void printSettings() {
    for (Map.Entry<String, String> key :
        new TreeMap<>(DaemonSettingsFile.keyDescriptions()).entrySet()) {
      System.out.printf("| `%s` | %s |%n", key.getKey(), key.getValue());
    }
  }

  private static DaemonSettingsFile load(Path path) {
    try {
      return DaemonSettingsFile.load(path);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_ERROR);
      throw e;
    }
  }

  private static void run(DaemonSettingsFile file) {
    try {
      DaemonRuntime runtime = DaemonRuntime.start(file);
      Runtime.getRuntime().addShutdownHook(new Thread(runtime::stop, "drain"));
      logger
          .atInfo()
          .addKeyValue("daemon", file.daemon().id())
          .addKeyValue("domain", file.daemon().domain().toString())
          .addKeyValue("http_port", file.daemon().httpPort())
          .addKeyValue("peer_port", file.daemon().peerPort())
          .log("daemon started");
    } catch (IOException | RuntimeException e) {
      logger.atError().setCause(e).log("daemon failed to start");
      System.exit(START_FAILED);
    }
  }
}
