package org.heatherspread.node.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.heatherspread.core.serving.Feature;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.platform.ContractParser;
import org.heatherspread.relay.caller.CallerProtection;
import org.heatherspread.settings.Section;
import org.heatherspread.settings.SettingsReader;

/**
 * Settings of a daemon. Immutable.
 *
 * @param name name of the daemon, stable across restarts
 * @param domain failure domain of the daemon
 * @param features parts of the system that the deployment asks for
 * @param callers listen address for callers
 * @param readiness listen address of the readiness probe
 * @param directory listen address of the directory of daemons
 * @param metrics listen address of the metrics
 * @param peers listen address for other daemons
 * @param linkMbps bandwidth of the instance's link in Mbit/s, 0 if unknown
 * @param store address of the shared store
 * @param cloud address of the cloud API; empty if no duties are assigned
 * @param duties duties that this daemon may perform
 * @param bounds time limits and ratios of the deployment
 * @param callerProtection bounds on what callers can take of the daemon
 */
public record NodeSettings(
    String name,
    String domain,
    Set<Feature> features,
    HostPort callers,
    HostPort readiness,
    HostPort directory,
    HostPort metrics,
    HostPort peers,
    double linkMbps,
    HostPort store,
    String cloud,
    Set<Duty> duties,
    Bounds bounds,
    CallerProtection callerProtection) {

  /**
   * A task that one daemon at a time performs for the fleet. The lower-case constant name is used
   * in the settings.
   */
  public enum Duty {
    /** Reports the usage of client accounts. */
    USAGE_REPORTING,
    /** Orders endpoints according to demand. */
    AUTOSCALING
  }

  /**
   * Time limits and ratios of the deployment.
   *
   * @param revocation time after which a revoked key must no longer be accepted
   * @param grace time from SIGTERM to SIGKILL
   * @param retryRatio retries allowed per request
   * @param retryExtra further retries allowed per window, for all daemons together
   * @param retryWindow window of the retry budget
   * @param usageWindow window of usage reports
   * @param usageDue time after the end of a usage window by which it must be reported
   * @param limitWindow window over which account limits are measured
   * @param limitOvershoot share of the limit by which a window may exceed it
   * @param limitTolerance amount by which a window may exceed the limit in addition
   * @param directoryTtlMax maximum time for which callers may cache a directory response
   * @param canaryFraction share of a service's requests that a bad version may receive
   * @param canaryTolerance requests that it may receive besides
   * @param partitionExtension time by which store failures may extend a move to another version
   */
  public record Bounds(
      Duration revocation,
      Duration grace,
      double retryRatio,
      double retryExtra,
      Duration retryWindow,
      Duration usageWindow,
      Duration usageDue,
      Duration limitWindow,
      double limitOvershoot,
      double limitTolerance,
      Duration directoryTtlMax,
      double canaryFraction,
      double canaryTolerance,
      Duration partitionExtension) {}

  private static final Duration MIN_DURATION = Duration.ofMillis(100);
  private static final Duration MAX_DURATION = Duration.ofMinutes(10);
  private static final int MAX_CONNECTIONS = 1_000_000;
  private static final double MAX_LINK_MBPS = 1e6;
  private static final double MAX_RETRY_EXTRA = 1e6;
  private static final double MAX_LIMIT_TOLERANCE = 1e12;
  private static final double MAX_CANARY_TOLERANCE = 1e6;

  /**
   * Loads and validates a settings file.
   *
   * @throws org.heatherspread.settings.SettingsException lists all faults of the file
   */
  public static NodeSettings load(Path path) {
    return read(SettingsReader.load(path));
  }

  /**
   * Parses and validates settings.
   *
   * @param file file name for error messages
   * @throws org.heatherspread.settings.SettingsException lists all faults of the text
   */
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
            ContractParser.parse(daemon.text("contracts", "")),
            address(listen, "callers"),
            address(listen, "readiness"),
            address(listen, "directory"),
            address(listen, "metrics"),
            address(listen, "peers"),
            listen.decimal("link_mbps", 0, 0, MAX_LINK_MBPS),
            address(reader.section("store"), "address"),
            cloud.text("address", ""),
            duties(cloud.text("duties", "usage_reporting,autoscaling")),
            bounds(reader.section("bounds")),
            callerProtection(reader.section("caller_protection")));
    reader.validate();
    return settings;
  }

  private static Bounds bounds(Section section) {
    return new Bounds(
        section.duration("revocation", Duration.ofSeconds(5), MIN_DURATION, MAX_DURATION),
        section.duration("grace", Duration.ofSeconds(8), MIN_DURATION, MAX_DURATION),
        section.decimal("retry_ratio", 0.2, 0, 10),
        section.decimal("retry_extra", 56, 0, MAX_RETRY_EXTRA),
        section.duration("retry_window", Duration.ofSeconds(10), MIN_DURATION, MAX_DURATION),
        section.duration("usage_window", Duration.ofSeconds(5), MIN_DURATION, MAX_DURATION),
        section.duration("usage_due", Duration.ofSeconds(10), MIN_DURATION, MAX_DURATION),
        section.duration("limit_window", Duration.ofSeconds(8), MIN_DURATION, MAX_DURATION),
        section.decimal("limit_overshoot", 0, 0, 10),
        section.decimal("limit_tolerance", 0, 0, MAX_LIMIT_TOLERANCE),
        section.duration("directory_ttl_max", Duration.ofSeconds(5), MIN_DURATION, MAX_DURATION),
        section.decimal("canary_fraction", 0.1, 0, 1),
        section.decimal("canary_tolerance", 50, 0, MAX_CANARY_TOLERANCE),
        section.duration("partition_extension", Duration.ofSeconds(3), MIN_DURATION, MAX_DURATION));
  }

  private static CallerProtection callerProtection(Section section) {
    return CallerProtection.create(
        section.integer("max_connections", 0, 0, MAX_CONNECTIONS),
        section.duration("stall", Duration.ofSeconds(2), MIN_DURATION, MAX_DURATION).toMillis(),
        section.decimal("head_ratio", CallerProtection.DEFAULT_HEAD_RATIO, 0.01, 0.5));
  }

  /** Parses the duties and ignores unknown ones, which later versions may perform. */
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
      section.addProblem(name, "must be an address of the form host:port");
      return new HostPort("0.0.0.0", 0);
    }
  }
}
