package org.heatherspread.node.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.fleet.StreamReportSelector;
import org.heatherspread.core.stream.StreamReport;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.node.peer.SharedStreamOrigins;
import org.heatherspread.relay.call.RelayState;

/**
 * What the reports of all daemons, as last read, tell of recent streams. The reports are selected
 * at most once within a short time, as each stream that begins asks for them. Confined to the event
 * loop.
 */
public final class StreamReportView implements SharedStreamOrigins.ReportView {
  /** Age of the reports that tell where streams began; longer than callers resume streams. */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(60);

  /** Time for which a selection is used, short beside the interval of reads of the reports. */
  private static final long SELECTION_MILLIS = 100;

  private final Supplier<FleetView> fleet;
  private final Supplier<RelayState> state;
  private final MonotonicClock clock;
  private List<StreamReport> selected;
  private long selectedMillis;

  private StreamReportView(
      Supplier<FleetView> fleet, Supplier<RelayState> state, MonotonicClock clock) {
    this.fleet = fleet;
    this.state = state;
    this.clock = clock;
  }

  /** Creates a view of a fleet and a state that may be set later, before the first use. */
  public static StreamReportView create(
      Supplier<FleetView> fleet, Supplier<RelayState> state, MonotonicClock clock) {
    return new StreamReportView(fleet, state, clock);
  }

  @Override
  public Collection<StreamReport> streamReports() {
    long now = clock.millis();
    if (selected == null || now - selectedMillis >= SELECTION_MILLIS) {
      selected = StreamReportSelector.selectAll(recentReports());
      selectedMillis = now;
    }
    return selected;
  }

  @Override
  public Collection<StreamReport> streamReports(long callerWaitMillis) {
    long storeMillis = state.get().storeFreshness().storeMillis();
    return StreamReportSelector.select(recentReports(), storeMillis, callerWaitMillis);
  }

  @Override
  public long storeEra() {
    return state.get().storeFreshness().era();
  }

  @Override
  public Set<String> registeredVersions(String service) {
    return state.get().endpoints().versions(service);
  }

  private List<DaemonReport> recentReports() {
    return fleet.get().writtenWithin(MAX_REPORT_AGE.toMillis());
  }
}
