package org.heatherspread.daemon.record;

import io.grpc.BindableService;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.RecordCounts;
import org.heatherspread.core.record.Replica;
import org.heatherspread.core.record.ReplicaTable;
import org.heatherspread.core.record.ReplicaWriteResult;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.http.ProblemAnswers;

/**
 * Records of model streams, each kept here and at a daemon in another failure domain that its
 * request id names. Any daemon finds a record by asking the two named daemons, and those that took
 * over from them; the latest copy holds.
 *
 * <p>If the second keeper is lost or refuses, the owner gives the copy to another one and tells all
 * daemons. A take-over raises the epoch, so that the former owner's next write fails. Two owners at
 * once are possible only while the keepers cannot reach each other; since model requests may be
 * repeated this costs work, not correctness.
 *
 * <p>Safe for use by any thread.
 */
public final class ReplicatedRequestRecords implements RequestRecords {
  private static final int MAX_KEEPERS_TRIED = 3;
  private static final String TOPIC = "records.streams";

  private final DaemonRef self;
  private final CallLookup calls;
  private final ReplicaTable<RequestRecord> table;
  private final StreamRecordsClient client;
  private final RecordHolderSelector keepers;
  private final SuccessorDirectory successors;
  private final MeterRegistry meters;
  private final long retentionMillis;

  private ReplicatedRequestRecords(
      DaemonContext context, RecordSettings settings, CallLookup calls) {
    this.calls = calls;
    Instance instance = context.self();
    self = new DaemonRef(instance.id(), instance.incarnation());
    table =
        ReplicaTable.create(
            context.wallClock(),
            settings.limits().capacity(),
            settings.limits().maxTotalResponseBytes());
    client = new StreamRecordsClient(context.membership(), context.peers(), settings);
    keepers = new RecordHolderSelector(instance, context.membership());
    Duration lifetime = settings.limits().retention();
    successors = new SuccessorDirectory(context.dissemination(), TOPIC, self.id(), lifetime);
    meters = context.meters();
    retentionMillis = lifetime.toMillis();
  }

  static ReplicatedRequestRecords create(
      DaemonContext context, RecordSettings settings, CallLookup calls) {
    return new ReplicatedRequestRecords(context, settings, calls);
  }

  BindableService service() {
    return new StreamRecordsService(table, retentionMillis);
  }

  RecordCounts counts() {
    return table.counts();
  }

  // ---- Opening ----

  @Override
  public CompletableFuture<RecordHandle> open(RequestDescriptor draft) {
    return open(draft, keepers.candidates(Set.of()), 0);
  }

  private CompletableFuture<RecordHandle> open(
      RequestDescriptor draft, List<Instance> candidates, int index) {
    if (index == Math.min(candidates.size(), MAX_KEEPERS_TRIED)) {
      return CompletableFuture.failedFuture(noKeeper());
    }
    Instance keeper = candidates.get(index);
    RequestId id =
        RequestId.create(
            self, new DaemonRef(keeper.id(), keeper.incarnation()), ThreadLocalRandom.current());
    RequestRecord record =
        new RequestRecord(id.toString(), draft, RecordProgress.none(), Optional.empty());
    Replica<RequestRecord> first =
        StreamCodec.replica(id, 1, 1, self.id(), record, retentionMillis);
    return client
        .write(keeper.id(), first)
        .exceptionally(failure -> ReplicaWriteResult.REFUSED)
        .thenCompose(
            result -> {
              count("open", result);
              if (result != ReplicaWriteResult.KEPT) {
                return open(draft, candidates, index + 1);
              }
              return table.write(first) == ReplicaWriteResult.KEPT
                  ? CompletableFuture.completedFuture(new Handle(first, keeper.id()))
                  : CompletableFuture.failedFuture(full());
            });
  }

  private static ServingException noKeeper() {
    return ServingException.of(
        ErrorKind.WITNESS_UNAVAILABLE, "no second daemon could keep the request's record");
  }

  private static ServingException full() {
    return ServingException.of(ErrorKind.OVERLOADED, "no room for the request's record");
  }

  private void count(String step, ReplicaWriteResult result) {
    meters
        .counter(
            "heatherspread.records.streams.writes",
            "step",
            step,
            "result",
            result.name().toLowerCase(Locale.ROOT).replace('_', '-'))
        .increment();
  }

  // ---- Finding ----

  @Override
  public CompletableFuture<Optional<RequestRecord>> find(String requestId) {
    Optional<RequestId> id = RequestId.parse(requestId);
    if (id.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return latest(id.get()).thenApply(found -> found.map(place -> place.copy().value()));
  }

  @Override
  public CompletableFuture<CallOutcome> callOutcome(String requestId, String account) {
    return RequestId.parse(requestId)
        .map(id -> calls.peek(id, account))
        .orElse(CompletableFuture.completedFuture(CallOutcome.notHeld()));
  }

  /** A copy and the daemon that has it. */
  private record Place(String daemonId, Replica<RequestRecord> copy) {}

  /**
   * Finds the latest copy among all daemons that may have one. Without a copy, a daemon that did
   * not answer may have it, so the future fails with {@code RECORD_UNREACHABLE}.
   */
  private CompletableFuture<Optional<Place>> latest(RequestId id) {
    List<CompletableFuture<Optional<Place>>> answers = new ArrayList<>();
    for (String daemon : places(id)) {
      answers.add(
          copyAt(daemon, id).thenApply(found -> found.map(copy -> new Place(daemon, copy))));
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .handle((done, failure) -> latestOf(answers));
  }

  private static Optional<Place> latestOf(List<CompletableFuture<Optional<Place>>> answers) {
    Place best = null;
    boolean unanswered = false;
    for (CompletableFuture<Optional<Place>> answer : answers) {
      if (answer.isCompletedExceptionally()) {
        unanswered = true;
        continue;
      }
      Place place = answer.join().orElse(null);
      if (place != null && (best == null || place.copy().isLaterThan(best.copy()))) {
        best = place;
      }
    }
    if (best == null && unanswered) {
      throw ServingException.of(
          ErrorKind.RECORD_UNREACHABLE, "a daemon that may keep the record does not answer");
    }
    return Optional.ofNullable(best);
  }

  /** Returns the daemons that may have a copy: this one, those named, and their successors. */
  private Set<String> places(RequestId id) {
    Set<String> places = new LinkedHashSet<>();
    places.add(self.id());
    places.add(id.owner().id());
    places.add(id.witness().id());
    places.addAll(successors.successors(id.owner()));
    places.addAll(successors.successors(id.witness()));
    return places;
  }

  private CompletableFuture<Optional<Replica<RequestRecord>>> copyAt(String daemon, RequestId id) {
    return daemon.equals(self.id())
        ? CompletableFuture.completedFuture(table.find(id))
        : client.find(daemon, id);
  }

  // ---- Taking over ----

  @Override
  public CompletableFuture<Optional<TakeoverResult>> takeOver(String requestId) {
    Optional<RequestId> id = RequestId.parse(requestId);
    if (id.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return latest(id.get())
        .thenCompose(
            found ->
                found.isEmpty()
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : takeOver(found.get(), id.get()));
  }

  private CompletableFuture<Optional<TakeoverResult>> takeOver(Place place, RequestId id) {
    CompletableFuture<Optional<Replica<RequestRecord>>> taken =
        place.daemonId().equals(self.id())
            ? CompletableFuture.completedFuture(table.takeOver(id))
            : client.takeOver(place.daemonId(), id);
    return taken.thenCompose(
        copy ->
            copy.isEmpty()
                ? CompletableFuture.completedFuture(Optional.empty())
                : adopt(place, copy.get()).thenApply(Optional::of));
  }

  private CompletableFuture<TakeoverResult> adopt(Place place, Replica<RequestRecord> copy) {
    table.write(copy);
    Handle handle = new Handle(copy, secondKeeper(place, copy.id()));
    TakeoverResult result = new TakeoverResult(copy.value(), handle);
    if (copy.closed()) {
      return CompletableFuture.completedFuture(result);
    }
    meters.counter("heatherspread.records.streams.taken.over").increment();
    return handle.advance(copy.value().progress()).thenApply(done -> result);
  }

  /** Prefers the daemons that the id names, so that the record stays easy to find. */
  private String secondKeeper(Place place, RequestId id) {
    for (String each : List.of(id.witness().id(), place.daemonId(), id.owner().id())) {
      if (!each.equals(self.id()) && keepers.isAvailable(each)) {
        return each;
      }
    }
    return place.daemonId();
  }

  // ---- Stop ----

  /**
   * Takes no more records and gives those kept for others, or still open, to a daemon that stays.
   */
  CompletableFuture<Void> drain() {
    List<CompletableFuture<Void>> moves = new ArrayList<>();
    for (Replica<RequestRecord> copy : table.seal()) {
      boolean own = copy.id().owner().equals(self);
      if (own && keepers.isAvailable(copy.id().witness().id())) {
        continue;
      }
      Handle handle = new Handle(copy, self.id());
      moves.add(handle.copyElsewhere(copy).exceptionally(failure -> null));
    }
    return CompletableFuture.allOf(moves.toArray(CompletableFuture[]::new));
  }

  // ---- Writing ----

  /** The owner's hold on one record under one epoch; guarded by its monitor. */
  private final class Handle implements RecordHandle {
    private Replica<RequestRecord> current;
    private String keeper;

    Handle(Replica<RequestRecord> current, String keeper) {
      this.current = current;
      this.keeper = keeper;
    }

    @Override
    public String requestId() {
      return current().value().requestId();
    }

    private synchronized Replica<RequestRecord> current() {
      return current;
    }

    private synchronized Replica<RequestRecord> next(RequestRecord record) {
      current =
          StreamCodec.replica(
              current.id(),
              current.epoch(),
              current.sequence() + 1,
              self.id(),
              record,
              retentionMillis);
      return current;
    }

    @Override
    public CompletableFuture<Void> advance(RecordProgress progress) {
      RequestRecord last = current().value();
      RequestRecord record =
          new RequestRecord(last.requestId(), last.request(), progress, Optional.empty());
      Replica<RequestRecord> copy = next(record);
      ReplicaWriteResult here = table.write(copy);
      if (here == ReplicaWriteResult.TAKEN_OVER) {
        return CompletableFuture.failedFuture(takenOver());
      }
      if (here == ReplicaWriteResult.REFUSED) {
        return CompletableFuture.failedFuture(full());
      }
      return copyToKeeper(copy).exceptionally(this::goOnAlone);
    }

    /** A request that runs already goes on with one copy if no other daemon can keep one. */
    private Void goOnAlone(Throwable failure) {
      ServingException error = ProblemAnswers.unwrap(failure);
      if (error.kind() != ErrorKind.WITNESS_UNAVAILABLE) {
        throw error;
      }
      meters.counter("heatherspread.records.streams.single").increment();
      return null;
    }

    private synchronized String keeper() {
      return keeper;
    }

    private CompletableFuture<Void> copyToKeeper(Replica<RequestRecord> copy) {
      if (keeper().equals(self.id())) {
        return copyElsewhere(copy);
      }
      return client
          .write(keeper(), copy)
          .exceptionally(failure -> ReplicaWriteResult.REFUSED)
          .thenCompose(
              result -> {
                count("advance", result);
                return switch (result) {
                  case KEPT -> CompletableFuture.completedFuture(null);
                  case TAKEN_OVER -> CompletableFuture.failedFuture(takenOver());
                  case REFUSED -> copyElsewhere(copy);
                };
              });
    }

    /** Gives a copy to a daemon that has none yet and tells all daemons. */
    private CompletableFuture<Void> copyElsewhere(Replica<RequestRecord> copy) {
      Set<String> taken = new HashSet<>(List.of(keeper(), copy.ownerId()));
      return copyElsewhere(copy, keepers.candidates(taken), 0);
    }

    private CompletableFuture<Void> copyElsewhere(
        Replica<RequestRecord> copy, List<Instance> candidates, int index) {
      if (index == Math.min(candidates.size(), MAX_KEEPERS_TRIED)) {
        return CompletableFuture.failedFuture(noKeeper());
      }
      String candidate = candidates.get(index).id();
      return client
          .write(candidate, copy)
          .exceptionally(failure -> ReplicaWriteResult.REFUSED)
          .thenCompose(
              result -> {
                count("move", result);
                return switch (result) {
                  case KEPT -> moved(candidate, copy.id());
                  case TAKEN_OVER -> CompletableFuture.failedFuture(takenOver());
                  case REFUSED -> copyElsewhere(copy, candidates, index + 1);
                };
              });
    }

    private CompletableFuture<Void> moved(String candidate, RequestId id) {
      synchronized (this) {
        keeper = candidate;
      }
      successors.publish(id.witness(), candidate);
      successors.publish(id.owner(), candidate);
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close(RecordOutcome outcome) {
      RequestRecord last = current().value();
      RequestDescriptor draft = last.request();
      RequestDescriptor empty =
          new RequestDescriptor(
              draft.account(),
              draft.service(),
              draft.version(),
              new byte[0],
              draft.repeatable(),
              draft.deadline());
      RequestRecord ended =
          new RequestRecord(
              last.requestId(),
              empty,
              last.progress(),
              last.outcome().or(() -> Optional.of(outcome)));
      Replica<RequestRecord> copy = next(ended);
      if (table.write(copy) == ReplicaWriteResult.KEPT) {
        client
            .write(keeper(), copy)
            .whenComplete(
                (result, failure) ->
                    count("close", failure == null ? result : ReplicaWriteResult.REFUSED));
      }
    }

    @Override
    public CompletableFuture<Void> handOver() {
      Replica<RequestRecord> copy = current();
      return keepers.isAvailable(keeper()) ? copyToKeeper(copy) : copyElsewhere(copy);
    }

    private ServingException takenOver() {
      return ServingException.of(
          ErrorKind.STREAM_CUT, "another daemon has taken the request over, or it has ended");
    }
  }
}
