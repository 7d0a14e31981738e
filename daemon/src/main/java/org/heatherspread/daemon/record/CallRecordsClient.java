package org.heatherspread.daemon.record;

import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.AdmissionResult;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.record.SealedRecord;
import org.heatherspread.core.record.SealedSet;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.protocol.generated.records.CallRecordsGrpc;
import org.heatherspread.protocol.generated.records.CallRecordsGrpc.CallRecordsFutureStub;
import org.heatherspread.protocol.generated.records.DispatchingRequest;
import org.heatherspread.protocol.generated.records.Keeper;
import org.heatherspread.protocol.generated.records.OutcomeReply;
import org.heatherspread.protocol.generated.records.PeekRequest;
import org.heatherspread.protocol.generated.records.ReportRequest;
import org.heatherspread.protocol.generated.records.ResolveRequest;
import org.heatherspread.protocol.generated.records.SealedPart;
import org.heatherspread.protocol.generated.records.SealedReply;

/**
 * Asks other daemons about records of calls. A future fails when the daemon is not known, does not
 * answer in time, or refuses the message. Immutable; safe for use by any thread.
 */
final class CallRecordsClient {
  private static final int PART_BYTES = 1 << 20;

  private final Supplier<MembershipSnapshot> membership;
  private final PeerChannels peers;
  private final RecordSettings settings;

  CallRecordsClient(
      Supplier<MembershipSnapshot> membership, PeerChannels peers, RecordSettings settings) {
    this.membership = membership;
    this.peers = peers;
    this.settings = settings;
  }

  /** Asks the witness for its acknowledgement. */
  CompletableFuture<AdmissionResult> acknowledgeDispatch(CallDescriptor draft) {
    DispatchingRequest request =
        DispatchingRequest.newBuilder().setDraft(CallCodec.encodeCall(draft)).build();
    return call(
            draft.id().witness().id(),
            ErrorKind.WITNESS_UNAVAILABLE,
            settings.witnessTimeout(),
            stub -> stub.dispatching(request))
        .thenApply(reply -> CallCodec.decodeAdmission(reply.getAdmission()));
  }

  /** Tells the witness how a call ended. */
  CompletableFuture<Void> report(CallDescriptor draft, CallOutcome outcome) {
    return report(draft.id().witness().id(), draft, outcome);
  }

  /** Tells a daemon that keeps a call's record how it ended. */
  CompletableFuture<Void> report(String daemonId, CallDescriptor draft, CallOutcome outcome) {
    ReportRequest request =
        ReportRequest.newBuilder()
            .setDraft(CallCodec.encodeCall(draft))
            .setOutcome(CallCodec.encodeOutcome(outcome))
            .build();
    return call(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.report(request))
        .thenApply(reply -> null);
  }

  /** Asks a keeper for the outcome; it closes an id that it never saw. */
  CompletableFuture<CallOutcome> resolve(String daemonId, CallDescriptor draft, Keeper keeper) {
    ResolveRequest request =
        ResolveRequest.newBuilder().setDraft(CallCodec.encodeCall(draft)).setKeeper(keeper).build();
    return call(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.resolve(request))
        .thenApply(CallRecordsClient::outcome);
  }

  /** Asks a keeper for the outcome without changing anything. */
  CompletableFuture<CallOutcome> peek(
      String daemonId, RequestId id, String account, Keeper keeper) {
    PeekRequest request =
        PeekRequest.newBuilder()
            .setRequestId(id.toString())
            .setAccount(account)
            .setKeeper(keeper)
            .build();
    return call(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.peek(request))
        .thenApply(CallRecordsClient::outcome);
  }

  private static CallOutcome outcome(OutcomeReply reply) {
    return CallCodec.decodeOutcome(reply.getOutcome());
  }

  /** Gives a sealed set to a daemon; true if it kept the whole set. */
  CompletableFuture<Boolean> handOver(Instance successor, SealedSet set, Duration bound) {
    CompletableFuture<Boolean> kept = new CompletableFuture<>();
    StreamObserver<SealedPart> parts =
        CallRecordsGrpc.newStub(peers.channel(successor))
            .withDeadlineAfter(bound.toMillis(), TimeUnit.MILLISECONDS)
            .handOver(new ReplyObserver(kept));
    SealedPart.Builder part = emptyPart(set);
    int bytes = 0;
    for (SealedRecord record : set.records()) {
      var message = message(record);
      part.addRecords(message);
      bytes += message.getSerializedSize();
      if (bytes > PART_BYTES) {
        parts.onNext(part.build());
        part = emptyPart(set);
        bytes = 0;
      }
    }
    parts.onNext(part.build());
    parts.onCompleted();
    return kept;
  }

  private static SealedPart.Builder emptyPart(SealedSet set) {
    return SealedPart.newBuilder()
        .setWitnessId(set.witness().id())
        .setWitnessIncarnation(set.witness().incarnation())
        .setSealedAtMs(set.sealedAtMillis());
  }

  private static org.heatherspread.protocol.generated.records.SealedRecord message(
      SealedRecord record) {
    return org.heatherspread.protocol.generated.records.SealedRecord.newBuilder()
        .setDraft(CallCodec.encodeCall(record.call()))
        .setOutcome(CallCodec.encodeOutcome(record.outcome()))
        .build();
  }

  private <T> CompletableFuture<T> call(
      String daemonId,
      ErrorKind failureKind,
      Duration timeout,
      Function<CallRecordsFutureStub, ListenableFuture<T>> method) {
    Instance daemon = membership.get().member(daemonId).map(Member::instance).orElse(null);
    if (daemon == null) {
      return CompletableFuture.failedFuture(
          ServingException.of(failureKind, "daemon is not known: " + daemonId));
    }
    CallRecordsFutureStub stub =
        CallRecordsGrpc.newFutureStub(peers.channel(daemon))
            .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
    return GrpcFutures.toCompletableFuture(method.apply(stub), failureKind);
  }

  /** Takes the one reply of a hand-over. */
  private record ReplyObserver(CompletableFuture<Boolean> kept)
      implements StreamObserver<SealedReply> {
    @Override
    public void onNext(SealedReply reply) {
      kept.complete(reply.getKept());
    }

    @Override
    public void onError(Throwable failure) {
      kept.completeExceptionally(failure);
    }

    @Override
    public void onCompleted() {
      kept.complete(false);
    }
  }
}
