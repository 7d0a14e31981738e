package org.heatherspread.node.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.settings.Section;
import org.heatherspread.settings.SettingsReader;

/**
 * The settings of a daemon on the users' platform. Immutable.
 *
 * @param name the daemon's name, the same over restarts
 * @param domain its failure domain
 * @param callers where callers connect
 * @param readiness where readiness is asked for
 * @param directory where callers ask for addresses
 * @param metrics where metrics are read
 * @param peers where other daemons connect
 * @param linkMbps bandwidth of this instance's link in Mbit/s, 0 if not known
 * @param store the shared store
 * @param cloud the cloud calls; empty text where no duty is assigned
 * @param duties the duties assigned
 * @param bounds the deployment's time limits and ratios
 */
public record NodeSettings(
    String name,
    String domain,
    HostPort callers,
    HostPort readiness,
    HostPort directory,
    HostPort metrics,
    HostPort peers,
    double linkMbps,
    HostPort store,
    String cloud,
    Set<Duty> duties,
    Bounds bounds) {

  /** A duty of one daemon at a time; its name in lower case is its name in settings. */
  public enum Duty {
    /** Reports what client accounts used. */
    USAGE_REPORTING,
    /** Orders endpoints. */
    AUTOSCALING
  }

  /**
   * Time limits and ratios that the deployment states.
   *
   * @param revocation time after which a revoked key must not work
   * @param grace time from SIGTERM to SIGKILL
   * @param retryRatio repeats allowed for each request
   * @param retryExtra repeats allowed besides in a window, by all daemons together
   * @param retryWindow window of the retry budget
   * @param usageWindow window of usage reports
   * @param usageDue time after a window's end by which it is to be reported
   * @param limitWindow window in which limits of client accounts are judged
   * @param limitOvershoot share by which a window may exceed a limit
   * @param limitTolerance amount by which it may exceed it besides
   * @param directoryTtlMax longest time for which callers keep an answer of the directory
   */
  public record Bounds(
      Duration revocation,
      Duration grace,
      double retryRatio,
      int retryExtra,
      Duration retryWindow,
      Duration usageWindow,
      Duration usageDue,
      Duration limitWindow,
      double limitOvershoot,
      double limitTolerance,
      Duration directoryTtlMax) {}

  private static final Duration MIN = Duration.ofMillis(100);
  private static final Duration MAX = Duration.ofMinutes(10);
  private static final double MAX_LINK_MBPS = 1e6;
  private static final int MAX_EXTRA = 1_000_000;
  private static final double MAX_TOLERANCE = 1e12;

  /**
   * Loads a file.
   *
   * @throws org.heatherspread.settings.SettingsException with all faults at once
   */
  public static NodeSettings load(Path path) {
    return read(SettingsReader.load(path));
  }

  /** Reads settings from a text, for tests and checks. */
  public static NodeSettings parse(String file, String text) {
    return read(SettingsReader.parse(file, text));
  }

  private static NodeSettings read(SettingsReader reader) {
    Section daemon = reader.section("daemon");
    Section listen = reader.section("listen");
    Section cloud = reader.section("cloud");
    NodeSettings settings =
        new NodeSettings(
            daemon.text("name"),
            daemon.text("domain"),
            address(listen, "callers"),
            address(listen, "readiness"),
            address(listen, "directory"),
            address(listen, "metrics"),
            address(listen, "peers"),
            listen.decimal("link_mbps", 0, 0, MAX_LINK_MBPS),
            address(reader.section("store"), "address"),
            cloud.text("address", ""),
            duties(cloud.text("duties", "usage_reporting,autoscaling")),
            bounds(reader.section("bounds")));
    reader.validate();
    return settings;
  }

  private static Bounds bounds(Section section) {
    return new Bounds(
        section.duration("revocation", Duration.ofSeconds(5), MIN, MAX),
        section.duration("grace", Duration.ofSeconds(8), MIN, MAX),
        section.decimal("retry_ratio", 0.2, 0, 10),
        section.integer("retry_extra", 56, 0, MAX_EXTRA),
        section.duration("retry_window", Duration.ofSeconds(10), MIN, MAX),
        section.duration("usage_window", Duration.ofSeconds(5), MIN, MAX),
        section.duration("usage_due", Duration.ofSeconds(10), MIN, MAX),
        section.duration("limit_window", Duration.ofSeconds(8), MIN, MAX),
        section.decimal("limit_overshoot", 0, 0, 10),
        section.decimal("limit_tolerance", 0, 0, MAX_TOLERANCE),
        section.duration("directory_ttl_max", Duration.ofSeconds(5), MIN, MAX));
  }

  /** Reads the duties; later ones that this version does not know are left to others. */
  private static Set<Duty> duties(String names) {
    Set<Duty> duties = EnumSet.noneOf(Duty.class);
    for (String name : names.split(",")) {
      for (Duty duty : Duty.values()) {
        if (duty.name().equalsIgnoreCase(name.trim())) {
          duties.add(duty);
        }
      }
    }
    return duties;
  }

  private static HostPort address(Section section, String name) {
    String text = section.text(name);
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      section.addProblem(name, "not an address of the form host:port");
      return new HostPort("0.0.0.0", 0);
    }
  }
}
