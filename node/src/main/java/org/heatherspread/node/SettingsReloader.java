package org.heatherspread.node;

import java.nio.file.Path;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.settings.SettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Reads and checks the settings file again on SIGHUP and logs the result. Changed settings take
 * effect at the next start, since the addresses and bounds of a running process are fixed; an
 * invalid file is rejected with its faults logged. Thread-safe.
 */
final class SettingsReloader {
  private static final Logger log = LoggerFactory.getLogger(SettingsReloader.class);

  private static final String RELOAD_SIGNAL = "HUP";

  private final Path path;
  private NodeSettings current;

  private SettingsReloader(Path path, NodeSettings current) {
    this.path = path;
    this.current = current;
  }

  static SettingsReloader create(Path path, NodeSettings current) {
    return new SettingsReloader(path, current);
  }

  /**
   * Ignores SIGHUP until {@link #start} is called. Must run first in the process, since the default
   * action of the signal terminates it.
   */
  static void ignoreReloadSignal() {
    Signal.handle(new Signal(RELOAD_SIGNAL), signal -> {});
  }

  void start() {
    SignalHandler previous = Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload());
    if (previous == SignalHandler.SIG_IGN) {
      // The virtual machine installs no handler if the process was started with SIGHUP ignored.
      log.atWarn()
          .log("settings are not reloaded on SIGHUP, which this process was started to ignore");
    }
  }

  synchronized void reload() {
    try {
      NodeSettings next = NodeSettings.load(path);
      boolean changed = !next.equals(current);
      current = next;
      log.atInfo().addKeyValue("changed", changed).log("settings reloaded");
    } catch (SettingsException e) {
      log.atError()
          .addKeyValue("faults", e.getMessage())
          .log("settings kept; the new file has faults");
    }
  }
}
