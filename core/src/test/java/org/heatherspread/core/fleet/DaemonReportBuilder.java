package org.heatherspread.core.fleet;

import java.util.List;
import java.util.Map;
import org.heatherspread.core.freshness.EraObservation;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.rollout.ServiceCounts;
import org.heatherspread.core.stream.StreamReport;

/** Builds the report of a ready daemon, of which a test states what matters to it. */
public final class DaemonReportBuilder {
  private final String daemon;
  private String life = "1";
  private String domain = "a";
  private double linkMbps = 10;
  private DaemonState state = DaemonState.READY;
  private long sequence = 1;
  private long atStoreMillis;
  private Map<Long, Map<String, Integer>> usage = Map.of();
  private List<CrashEvidence> suspects = List.of();
  private StreamReport streams;
  private EraObservation storeEra;
  private List<ServiceCounts> rollouts = List.of();

  private DaemonReportBuilder(String daemon) {
    this.daemon = daemon;
  }

  /** Starts the report of a daemon of this name. */
  public static DaemonReportBuilder report(String daemon) {
    return new DaemonReportBuilder(daemon);
  }

  /** Sets the random number of the process. */
  public DaemonReportBuilder life(String value) {
    life = value;
    return this;
  }

  /** Sets the failure domain. */
  public DaemonReportBuilder domain(String value) {
    domain = value;
    return this;
  }

  /** Sets the bandwidth of the network link. */
  public DaemonReportBuilder linkMbps(double value) {
    linkMbps = value;
    return this;
  }

  /** Sets whether the daemon accepts callers. */
  public DaemonReportBuilder state(DaemonState value) {
    state = value;
    return this;
  }

  /** Sets the number of the report. */
  public DaemonReportBuilder sequence(long value) {
    sequence = value;
    return this;
  }

  /** Sets the time of the report on the store's clock. */
  public DaemonReportBuilder atStoreMillis(long value) {
    atStoreMillis = value;
    return this;
  }

  /** Sets the number of requests by window and client account. */
  public DaemonReportBuilder usage(Map<Long, Map<String, Integer>> value) {
    usage = value;
    return this;
  }

  /** Sets the evidence on what crashes endpoints. */
  public DaemonReportBuilder suspects(List<CrashEvidence> value) {
    suspects = value;
    return this;
  }

  /** Sets the report of streams. */
  public DaemonReportBuilder streams(StreamReport value) {
    streams = value;
    return this;
  }

  /** Sets the observation of the store's era. */
  public DaemonReportBuilder storeEra(EraObservation value) {
    storeEra = value;
    return this;
  }

  /** Sets the counts for moves of services. */
  public DaemonReportBuilder rollouts(List<ServiceCounts> value) {
    rollouts = value;
    return this;
  }

  /** Returns the report. */
  public DaemonReport build() {
    return new DaemonReport(
        daemon,
        life,
        "1.2.3.4:5",
        "1.2.3.4:6",
        domain,
        linkMbps,
        state,
        sequence,
        atStoreMillis,
        0,
        usage,
        Map.of(),
        List.of(),
        suspects,
        Map.of(),
        List.of(),
        Map.of(),
        streams,
        storeEra,
        rollouts);
  }
}
