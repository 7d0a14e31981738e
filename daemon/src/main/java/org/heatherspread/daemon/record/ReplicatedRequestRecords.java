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
import org.heatherspread.daemon.http.ProblemResponses;

/**
 * Records of model streams, replicated to a daemon in another failure domain.
 *
 * <p>The request id names the owner and the second record holder. Any daemon finds a record by
 * querying these two and their successors; the latest replica is valid. If the second holder is
 * lost or refuses a write, the owner writes to another daemon and publishes it as successor.
 *
 * <p>A takeover increments the epoch, so that the next write of the previous owner fails. Two
 * owners can exist at the same time only while the record holders cannot reach each other. Because
 * model requests may be repeated, this wastes work but gives no wrong result.
 *
 * <p>Thread-safe.
 */
public final class ReplicatedRequestRecords implements RequestRecords {
  private static final int MAX_HOLDERS_TRIED = 3;
  private static final String SUCCESSORS_TOPIC = "records.streams";

  private final DaemonRef self;
  private final CallLookup callLookup;
  private final ReplicaTable<RequestRecord> table;
  private final StreamRecordsClient client;
  private final RecordHolderSelector holderSelector;
  private final SuccessorDirectory successors;
  private final MeterRegistry meters;
  private final long retentionMillis;

  private ReplicatedRequestRecords(
      DaemonContext context, RecordSettings settings, CallLookup callLookup) {
    this.callLookup = callLookup;
    Instance instance = context.self();
    self = new DaemonRef(instance.id(), instance.incarnation());
    table =
        ReplicaTable.create(
            context.wallClock(),
            settings.limits().capacity(),
            settings.limits().maxTotalResponseBytes());
    client = new StreamRecordsClient(context.membership(), context.peers(), settings);
    holderSelector = new RecordHolderSelector(instance, context.membership());
    Duration retention = settings.limits().retention();
    successors =
        new SuccessorDirectory(context.dissemination(), SUCCESSORS_TOPIC, self.id(), retention);
    meters = context.meters();
    retentionMillis = retention.toMillis();
  }

  static ReplicatedRequestRecords create(
      DaemonContext context, RecordSettings settings, CallLookup callLookup) {
    return new ReplicatedRequestRecords(context, settings, callLookup);
  }

  BindableService service() {
    return new StreamRecordsService(table, retentionMillis);
  }

  RecordCounts counts() {
    return table.counts();
  }

  @Override
  public CompletableFuture<RecordHandle> open(RequestDescriptor request) {
    return open(request, holderSelector.candidates(Set.of()), 0);
  }

  private CompletableFuture<RecordHandle> open(
      RequestDescriptor request, List<Instance> candidates, int index) {
    if (index == Math.min(candidates.size(), MAX_HOLDERS_TRIED)) {
      return CompletableFuture.failedFuture(noHolderAvailable());
    }
    Instance holder = candidates.get(index);
    RequestId id =
        RequestId.create(
            self, new DaemonRef(holder.id(), holder.incarnation()), ThreadLocalRandom.current());
    RequestRecord record =
        new RequestRecord(id.toString(), request, RecordProgress.none(), Optional.empty());
    Replica<RequestRecord> first =
        StreamCodec.toReplica(id, 1, 1, self.id(), record, retentionMillis);
    return client
        .write(holder.id(), first)
        .exceptionally(failure -> ReplicaWriteResult.REFUSED)
        .thenCompose(
            result -> {
              countWrite("open", result);
              if (result != ReplicaWriteResult.KEPT) {
                return open(request, candidates, index + 1);
              }
              return table.write(first) == ReplicaWriteResult.KEPT
                  ? CompletableFuture.completedFuture(new OwnerHandle(first, holder.id()))
                  : CompletableFuture.failedFuture(tableFull());
            });
  }

  private static ServingException noHolderAvailable() {
    return ServingException.of(
        ErrorKind.WITNESS_UNAVAILABLE, "no other daemon could store the request record");
  }

  private static ServingException tableFull() {
    return ServingException.of(ErrorKind.OVERLOADED, "request record table is full");
  }

  private void countWrite(String step, ReplicaWriteResult result) {
    meters
        .counter(
            "heatherspread.records.streams.writes",
            "step",
            step,
            "result",
            result.name().toLowerCase(Locale.ROOT).replace('_', '-'))
        .increment();
  }

  @Override
  public CompletableFuture<Optional<RequestRecord>> find(String requestId) {
    Optional<RequestId> id = RequestId.parse(requestId);
    if (id.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return findLatest(id.get())
        .thenApply(found -> found.map(location -> location.replica().value()));
  }

  @Override
  public CompletableFuture<CallOutcome> callOutcome(String requestId, String account) {
    return RequestId.parse(requestId)
        .map(id -> callLookup.peek(id, account))
        .orElse(CompletableFuture.completedFuture(CallOutcome.notHeld()));
  }

  /** A replica and the daemon that holds it. */
  private record ReplicaLocation(String daemonId, Replica<RequestRecord> replica) {}

  /**
   * Finds the latest replica among all daemons that may hold one. If none is found and a daemon did
   * not respond, that daemon may hold it, so the future fails with {@code RECORD_UNREACHABLE}.
   */
  private CompletableFuture<Optional<ReplicaLocation>> findLatest(RequestId id) {
    List<CompletableFuture<Optional<ReplicaLocation>>> lookups = new ArrayList<>();
    for (String daemon : possibleHolders(id)) {
      lookups.add(
          findReplicaAt(daemon, id)
              .thenApply(found -> found.map(replica -> new ReplicaLocation(daemon, replica))));
    }
    return CompletableFuture.allOf(lookups.toArray(CompletableFuture[]::new))
        .handle((done, failure) -> selectLatest(lookups));
  }

  private static Optional<ReplicaLocation> selectLatest(
      List<CompletableFuture<Optional<ReplicaLocation>>> lookups) {
    ReplicaLocation latest = null;
    boolean unreachable = false;
    for (CompletableFuture<Optional<ReplicaLocation>> lookup : lookups) {
      if (lookup.isCompletedExceptionally()) {
        unreachable = true;
        continue;
      }
      ReplicaLocation location = lookup.join().orElse(null);
      if (location != null
          && (latest == null || location.replica().isLaterThan(latest.replica()))) {
        latest = location;
      }
    }
    if (latest == null && unreachable) {
      throw ServingException.of(
          ErrorKind.RECORD_UNREACHABLE, "a daemon that may hold the record did not respond");
    }
    return Optional.ofNullable(latest);
  }

  /**
   * Returns the daemons that may hold a replica: this one, those named in the id, and their
   * successors.
   */
  private Set<String> possibleHolders(RequestId id) {
    Set<String> daemonIds = new LinkedHashSet<>();
    daemonIds.add(self.id());
    daemonIds.add(id.owner().id());
    daemonIds.add(id.witness().id());
    daemonIds.addAll(successors.successors(id.owner()));
    daemonIds.addAll(successors.successors(id.witness()));
    return daemonIds;
  }

  private CompletableFuture<Optional<Replica<RequestRecord>>> findReplicaAt(
      String daemon, RequestId id) {
    return daemon.equals(self.id())
        ? CompletableFuture.completedFuture(table.find(id))
        : client.find(daemon, id);
  }

  @Override
  public CompletableFuture<Optional<TakeoverResult>> takeOver(String requestId) {
    Optional<RequestId> id = RequestId.parse(requestId);
    if (id.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return findLatest(id.get())
        .thenCompose(
            found ->
                found.isEmpty()
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : takeOver(found.get(), id.get()));
  }

  private CompletableFuture<Optional<TakeoverResult>> takeOver(
      ReplicaLocation location, RequestId id) {
    CompletableFuture<Optional<Replica<RequestRecord>>> takenOver =
        location.daemonId().equals(self.id())
            ? CompletableFuture.completedFuture(table.takeOver(id))
            : client.takeOver(location.daemonId(), id);
    return takenOver.thenCompose(
        replica ->
            replica.isEmpty()
                ? CompletableFuture.completedFuture(Optional.empty())
                : assumeOwnership(location, replica.get()).thenApply(Optional::of));
  }

  private CompletableFuture<TakeoverResult> assumeOwnership(
      ReplicaLocation location, Replica<RequestRecord> replica) {
    table.write(replica);
    OwnerHandle handle = new OwnerHandle(replica, selectHolder(location, replica.id()));
    TakeoverResult result = new TakeoverResult(replica.value(), handle);
    if (replica.closed()) {
      return CompletableFuture.completedFuture(result);
    }
    meters.counter("heatherspread.records.streams.taken.over").increment();
    return handle.advance(replica.value().progress()).thenApply(done -> result);
  }

  /**
   * Selects the second holder, if possible one that the id names, so that lookups need no
   * successor.
   */
  private String selectHolder(ReplicaLocation location, RequestId id) {
    for (String daemonId : List.of(id.witness().id(), location.daemonId(), id.owner().id())) {
      if (!daemonId.equals(self.id()) && holderSelector.isAvailable(daemonId)) {
        return daemonId;
      }
    }
    return location.daemonId();
  }

  /**
   * Refuses new replicas and copies open records to a daemon that is not leaving, except own
   * records whose witness is available.
   */
  CompletableFuture<Void> drain() {
    List<CompletableFuture<Void>> transfers = new ArrayList<>();
    for (Replica<RequestRecord> replica : table.seal()) {
      boolean own = replica.id().owner().equals(self);
      if (own && holderSelector.isAvailable(replica.id().witness().id())) {
        continue;
      }
      OwnerHandle handle = new OwnerHandle(replica, self.id());
      transfers.add(handle.replicateElsewhere(replica).exceptionally(failure -> null));
    }
    return CompletableFuture.allOf(transfers.toArray(CompletableFuture[]::new));
  }

  /** Write access to one record under one epoch; guarded by its monitor. */
  private final class OwnerHandle implements RecordHandle {
    private Replica<RequestRecord> current;
    private String holder;

    OwnerHandle(Replica<RequestRecord> current, String holder) {
      this.current = current;
      this.holder = holder;
    }

    @Override
    public String requestId() {
      return current().value().requestId();
    }

    private synchronized Replica<RequestRecord> current() {
      return current;
    }

    private synchronized Replica<RequestRecord> advanceReplica(RequestRecord record) {
      current =
          StreamCodec.toReplica(
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
      RequestRecord previous = current().value();
      RequestRecord record =
          new RequestRecord(previous.requestId(), previous.request(), progress, Optional.empty());
      Replica<RequestRecord> replica = advanceReplica(record);
      ReplicaWriteResult localResult = table.write(replica);
      if (localResult == ReplicaWriteResult.TAKEN_OVER) {
        return CompletableFuture.failedFuture(ownershipLost());
      }
      if (localResult == ReplicaWriteResult.REFUSED) {
        return CompletableFuture.failedFuture(tableFull());
      }
      return replicate(replica).exceptionally(this::continueUnreplicated);
    }

    /** Lets a running request continue with one replica if no other daemon can store one. */
    private Void continueUnreplicated(Throwable failure) {
      ServingException error = ProblemResponses.unwrap(failure);
      if (error.kind() != ErrorKind.WITNESS_UNAVAILABLE) {
        throw error;
      }
      meters.counter("heatherspread.records.streams.single").increment();
      return null;
    }

    private synchronized String holder() {
      return holder;
    }

    private CompletableFuture<Void> replicate(Replica<RequestRecord> replica) {
      if (holder().equals(self.id())) {
        return replicateElsewhere(replica);
      }
      return client
          .write(holder(), replica)
          .exceptionally(failure -> ReplicaWriteResult.REFUSED)
          .thenCompose(
              result -> {
                countWrite("advance", result);
                return switch (result) {
                  case KEPT -> CompletableFuture.completedFuture(null);
                  case TAKEN_OVER -> CompletableFuture.failedFuture(ownershipLost());
                  case REFUSED -> replicateElsewhere(replica);
                };
              });
    }

    /** Writes the replica to a daemon that has none yet and publishes it as successor. */
    private CompletableFuture<Void> replicateElsewhere(Replica<RequestRecord> replica) {
      Set<String> excluded = new HashSet<>(List.of(holder(), replica.ownerId()));
      return replicateElsewhere(replica, holderSelector.candidates(excluded), 0);
    }

    private CompletableFuture<Void> replicateElsewhere(
        Replica<RequestRecord> replica, List<Instance> candidates, int index) {
      if (index == Math.min(candidates.size(), MAX_HOLDERS_TRIED)) {
        return CompletableFuture.failedFuture(noHolderAvailable());
      }
      String candidate = candidates.get(index).id();
      return client
          .write(candidate, replica)
          .exceptionally(failure -> ReplicaWriteResult.REFUSED)
          .thenCompose(
              result -> {
                countWrite("move", result);
                return switch (result) {
                  case KEPT -> changeHolder(candidate, replica.id());
                  case TAKEN_OVER -> CompletableFuture.failedFuture(ownershipLost());
                  case REFUSED -> replicateElsewhere(replica, candidates, index + 1);
                };
              });
    }

    private CompletableFuture<Void> changeHolder(String candidate, RequestId id) {
      synchronized (this) {
        holder = candidate;
      }
      successors.publish(id.witness(), candidate);
      successors.publish(id.owner(), candidate);
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public void close(RecordOutcome outcome) {
      RequestRecord previous = current().value();
      RequestDescriptor request = previous.request();
      RequestDescriptor withoutBody =
          new RequestDescriptor(
              request.account(),
              request.service(),
              request.version(),
              new byte[0],
              request.repeatable(),
              request.deadline());
      RequestRecord closed =
          new RequestRecord(
              previous.requestId(),
              withoutBody,
              previous.progress(),
              previous.outcome().or(() -> Optional.of(outcome)));
      Replica<RequestRecord> replica = advanceReplica(closed);
      if (table.write(replica) == ReplicaWriteResult.KEPT) {
        client
            .write(holder(), replica)
            .whenComplete(
                (result, failure) ->
                    countWrite("close", failure == null ? result : ReplicaWriteResult.REFUSED));
      }
    }

    @Override
    public CompletableFuture<Void> handOver() {
      Replica<RequestRecord> replica = current();
      return holderSelector.isAvailable(holder())
          ? replicate(replica)
          : replicateElsewhere(replica);
    }

    private ServingException ownershipLost() {
      return ServingException.of(
          ErrorKind.STREAM_CUT, "request was taken over by another daemon or has ended");
    }
  }
}
