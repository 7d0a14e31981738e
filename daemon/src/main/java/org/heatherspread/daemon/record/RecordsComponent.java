package org.heatherspread.daemon.record;

import io.grpc.BindableService;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.RecordCounts;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;

/**
 * The records of requests: answers other daemons, gives out the {@link CallRunner} and the {@link
 * CallLookup} for calls that may not be repeated and the {@link RequestRecords} for model streams,
 * and hands its records to another daemon when this one stops.
 *
 * <p>Safe for use by any thread.
 */
public final class RecordsComponent implements DaemonComponent {

  private static final String CALLS_TOPIC = "records.calls";

  private final DaemonContext context;
  private final CallTables tables;
  private final CallRecordsService service;
  private final WitnessHandover handOver;
  private final CallRunner runner;
  private final CallLookup lookup;
  private final ReplicatedRequestRecords streams;

  private RecordsComponent(DaemonContext context, RecordSettings settings, Duration longestLife) {
    this.context = context;
    Instance self = context.self();
    DaemonRef reference = new DaemonRef(self.id(), self.incarnation());
    tables = CallTables.create(reference, context.wallClock(), settings.limits());
    CallRecordsClient client =
        new CallRecordsClient(context.membership(), context.peers(), settings);
    SuccessorDirectory successors =
        new SuccessorDirectory(
            context.dissemination(),
            CALLS_TOPIC,
            self.id(),
            longestLife.plus(settings.limits().retention()));
    RecordHolderSelector keepers = new RecordHolderSelector(self, context.membership());
    handOver = new WitnessHandover(tables, client, successors, keepers);
    service = new CallRecordsService(tables, handOver, longestLife);
    runner = new CallRunner(tables, client, settings.maxReportWait(), context.meters());
    lookup = new CallLookup(tables, client, successors, context.meters());
    streams = ReplicatedRequestRecords.create(context, settings, lookup);
    gauges("owner", tables.owner()::counts);
    gauges("witness", tables.witness()::counts);
    gauges("stream", streams::counts);
  }

  /**
   * Creates the component.
   *
   * @param longestLife the longest time for which a permit is valid
   */
  public static RecordsComponent create(
      DaemonContext context, RecordSettings settings, Duration longestLife) {
    return new RecordsComponent(context, settings, longestLife);
  }

  private void gauges(String keeper, Supplier<RecordCounts> counts) {
    gauge("heatherspread.records.kept", keeper, counts, RecordCounts::records);
    gauge("heatherspread.records.answer.bytes", keeper, counts, RecordCounts::responseBytes);
    gauge("heatherspread.records.forgotten", keeper, counts, RecordCounts::evicted);
    gauge("heatherspread.records.answers.dropped", keeper, counts, RecordCounts::droppedResponses);
  }

  private void gauge(
      String name,
      String keeper,
      Supplier<RecordCounts> counts,
      ToDoubleFunction<RecordCounts> value) {
    MeterRegistry meters = context.meters();
    Gauge.builder(name, () -> value.applyAsDouble(counts.get()))
        .tag("keeper", keeper)
        .register(meters);
  }

  /** Returns what runs calls that may not be repeated. */
  public CallRunner runner() {
    return runner;
  }

  /** Returns what finds the outcome of such a call. */
  public CallLookup lookup() {
    return lookup;
  }

  /** Returns the records of model streams. */
  public RequestRecords streams() {
    return streams;
  }

  @Override
  public List<BindableService> peerServices() {
    return List.of(service, streams.service());
  }

  /**
   * Begins no more calls, acknowledges no more, and hands the records kept for others to a daemon
   * that stays. Requests in progress here are waited for by the components that run them.
   */
  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    tables.owner().seal();
    return CompletableFuture.allOf(streams.drain(), handOver.run(bound));
  }
}
