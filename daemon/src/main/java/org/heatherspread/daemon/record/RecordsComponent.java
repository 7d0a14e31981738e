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
 * Daemon component for request records. Provides the {@link CallRunner} and {@link CallLookup} for
 * calls that must not be repeated and the {@link RequestRecords} for model streams, serves the
 * records to other daemons, and hands them over when this daemon stops.
 *
 * <p>Thread-safe.
 */
public final class RecordsComponent implements DaemonComponent {

  private static final String CALL_SUCCESSORS_TOPIC = "records.calls";

  private final DaemonContext context;
  private final CallTables tables;
  private final CallRecordsService service;
  private final WitnessHandover handover;
  private final CallRunner runner;
  private final CallLookup lookup;
  private final ReplicatedRequestRecords streamRecords;

  private RecordsComponent(
      DaemonContext context, RecordSettings settings, Duration maxPermitLifetime) {
    this.context = context;
    Instance self = context.self();
    DaemonRef selfRef = new DaemonRef(self.id(), self.incarnation());
    tables = CallTables.create(selfRef, context.wallClock(), settings.limits());
    CallRecordsClient client =
        new CallRecordsClient(context.membership(), context.peers(), settings);
    SuccessorDirectory successors =
        new SuccessorDirectory(
            context.dissemination(),
            CALL_SUCCESSORS_TOPIC,
            self.id(),
            maxPermitLifetime.plus(settings.limits().retention()));
    RecordHolderSelector holderSelector = new RecordHolderSelector(self, context.membership());
    handover = new WitnessHandover(tables, client, successors, holderSelector);
    service = new CallRecordsService(tables, handover, maxPermitLifetime);
    runner = new CallRunner(tables, client, settings.maxReportWait(), context.meters());
    lookup = new CallLookup(tables, client, successors, context.meters());
    streamRecords = ReplicatedRequestRecords.create(context, settings, lookup);
    registerGauges("owner", tables.owner()::counts);
    registerGauges("witness", tables.witness()::counts);
    registerGauges("stream", streamRecords::counts);
  }

  /**
   * Creates the component.
   *
   * @param maxPermitLifetime maximum validity of a permit
   */
  public static RecordsComponent create(
      DaemonContext context, RecordSettings settings, Duration maxPermitLifetime) {
    return new RecordsComponent(context, settings, maxPermitLifetime);
  }

  private void registerGauges(String recordHolder, Supplier<RecordCounts> counts) {
    registerGauge("heatherspread.records.kept", recordHolder, counts, RecordCounts::records);
    registerGauge(
        "heatherspread.records.answer.bytes", recordHolder, counts, RecordCounts::responseBytes);
    registerGauge("heatherspread.records.forgotten", recordHolder, counts, RecordCounts::evicted);
    registerGauge(
        "heatherspread.records.answers.dropped",
        recordHolder,
        counts,
        RecordCounts::droppedResponses);
  }

  private void registerGauge(
      String name,
      String recordHolder,
      Supplier<RecordCounts> counts,
      ToDoubleFunction<RecordCounts> value) {
    MeterRegistry meters = context.meters();
    Gauge.builder(name, () -> value.applyAsDouble(counts.get()))
        .tag("keeper", recordHolder)
        .register(meters);
  }

  /** Returns the runner for calls that must not be repeated. */
  public CallRunner runner() {
    return runner;
  }

  /** Returns the lookup for outcomes of calls that must not be repeated. */
  public CallLookup lookup() {
    return lookup;
  }

  /** Returns the records of model streams. */
  public RequestRecords streams() {
    return streamRecords;
  }

  @Override
  public List<BindableService> peerServices() {
    return List.of(service, streamRecords.service());
  }

  /**
   * Stops admitting and acknowledging calls and hands the records held for other daemons to one
   * that is not leaving. The components that run requests wait for those in progress.
   */
  @Override
  public CompletableFuture<Void> drain(Duration timeout) {
    tables.owner().seal();
    return CompletableFuture.allOf(streamRecords.drain(), handover.run(timeout));
  }
}
