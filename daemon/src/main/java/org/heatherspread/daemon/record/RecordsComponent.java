package org.heatherspread.daemon.record;

import io.grpc.BindableService;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.RecordCounts;
import org.heatherspread.core.record.SealedSet;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of calls that may not be repeated: answers other daemons, gives out the {@link
 * CallRunner} and the {@link CallLookup}, and hands its records to another daemon when this one
 * stops.
 *
 * <p>Safe for use by any thread.
 */
public final class RecordsComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(RecordsComponent.class);

  private final DaemonContext context;
  private final CallTables tables;
  private final CallRecordsClient client;
  private final SuccessorDirectory successors;
  private final CallRecordsService service;
  private final CallRunner runner;
  private final CallLookup lookup;

  private RecordsComponent(DaemonContext context, RecordSettings settings, Duration longestLife) {
    this.context = context;
    Instance self = context.self();
    DaemonRef reference = new DaemonRef(self.id(), self.incarnation());
    tables = CallTables.create(reference, context.wallClock(), settings.limits());
    client = new CallRecordsClient(context.membership(), context.peers(), settings);
    successors =
        new SuccessorDirectory(
            context.dissemination(), longestLife.plus(settings.limits().retention()));
    service = new CallRecordsService(tables, longestLife);
    runner = new CallRunner(tables, client, context.meters());
    lookup = new CallLookup(tables, client, successors, context.meters());
    gauges("owner", tables.owner()::counts);
    gauges("witness", tables.witness()::counts);
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
    gauge("heatherspread.records.answer.bytes", keeper, counts, RecordCounts::answerBytes);
    gauge("heatherspread.records.forgotten", keeper, counts, RecordCounts::forgotten);
    gauge("heatherspread.records.answers.dropped", keeper, counts, RecordCounts::droppedAnswers);
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

  @Override
  public List<BindableService> peerServices() {
    return List.of(service);
  }

  /**
   * Begins no more calls, acknowledges no more, and hands the witness's records to a daemon that
   * stays. Calls in progress here are waited for by the component that runs them.
   */
  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    tables.owner().seal();
    List<SealedSet> sets = new ArrayList<>(tables.archive().all());
    sets.add(tables.witness().seal());
    return handOver(sets, candidates(), 0, bound);
  }

  private CompletableFuture<Void> handOver(
      List<SealedSet> sets, List<Instance> candidates, int index, Duration bound) {
    if (index == candidates.size()) {
      logger.atWarn().addKeyValue("sets", sets.size()).log("no daemon took over the records");
      return CompletableFuture.completedFuture(null);
    }
    Instance successor = candidates.get(index);
    List<CompletableFuture<Boolean>> replies = new ArrayList<>();
    for (SealedSet set : sets) {
      replies.add(client.handOver(successor, set, bound).exceptionally(failure -> false));
    }
    return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .thenCompose(
            done -> {
              List<SealedSet> left = new ArrayList<>();
              for (int i = 0; i < sets.size(); i++) {
                if (replies.get(i).join()) {
                  successors.publish(sets.get(i).witness(), successor.id());
                } else {
                  left.add(sets.get(i));
                }
              }
              return left.isEmpty()
                  ? CompletableFuture.completedFuture(null)
                  : handOver(left, candidates, index + 1, bound);
            });
  }

  /** Returns live daemons, those of other failure domains first. */
  private List<Instance> candidates() {
    List<Instance> elsewhere = new ArrayList<>();
    List<Instance> beside = new ArrayList<>();
    for (Member daemon : context.membership().get().daemons()) {
      Instance each = daemon.instance();
      if (!daemon.takesNewWork() || each.id().equals(context.self().id())) {
        continue;
      }
      (each.domain().equals(context.self().domain()) ? beside : elsewhere).add(each);
    }
    elsewhere.addAll(beside);
    return elsewhere;
  }
}
