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
 * Client of the call records held by other daemons.
 *
 * <p>A returned future fails if the daemon is unknown, does not respond in time, or rejects the
 * message. Immutable and thread-safe.
 */
final class CallRecordsClient {
  private static final int MAX_PART_BYTES = 1 << 20;

  private final Supplier<MembershipSnapshot> membership;
  private final PeerChannels peers;
  private final RecordSettings settings;

  CallRecordsClient(
      Supplier<MembershipSnapshot> membership, PeerChannels peers, RecordSettings settings) {
    this.membership = membership;
    this.peers = peers;
    this.settings = settings;
  }

  /** Requests the witness's acknowledgement that the call may be dispatched. */
  CompletableFuture<AdmissionResult> acknowledgeDispatch(CallDescriptor call) {
    DispatchingRequest request =
        DispatchingRequest.newBuilder().setDraft(CallCodec.encodeCall(call)).build();
    return invoke(
            call.id().witness().id(),
            ErrorKind.WITNESS_UNAVAILABLE,
            settings.witnessTimeout(),
            stub -> stub.dispatching(request))
        .thenApply(reply -> CallCodec.decodeAdmission(reply.getAdmission()));
  }

  /** Reports the outcome of a call to its witness. */
  CompletableFuture<Void> report(CallDescriptor call, CallOutcome outcome) {
    return report(call.id().witness().id(), call, outcome);
  }

  /** Reports the outcome of a call to a daemon that holds its record. */
  CompletableFuture<Void> report(String daemonId, CallDescriptor call, CallOutcome outcome) {
    ReportRequest request =
        ReportRequest.newBuilder()
            .setDraft(CallCodec.encodeCall(call))
            .setOutcome(CallCodec.encodeOutcome(outcome))
            .build();
    return invoke(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.report(request))
        .thenApply(reply -> null);
  }

  /** Requests the outcome from a record holder, which closes an id that it does not know. */
  CompletableFuture<CallOutcome> resolve(String daemonId, CallDescriptor call, Keeper role) {
    ResolveRequest request =
        ResolveRequest.newBuilder().setDraft(CallCodec.encodeCall(call)).setKeeper(role).build();
    return invoke(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.resolve(request))
        .thenApply(CallRecordsClient::decodeOutcome);
  }

  /** Requests the outcome from a record holder without closing an unknown id. */
  CompletableFuture<CallOutcome> peek(String daemonId, RequestId id, String account, Keeper role) {
    PeekRequest request =
        PeekRequest.newBuilder()
            .setRequestId(id.toString())
            .setAccount(account)
            .setKeeper(role)
            .build();
    return invoke(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout(),
            stub -> stub.peek(request))
        .thenApply(CallRecordsClient::decodeOutcome);
  }

  private static CallOutcome decodeOutcome(OutcomeReply reply) {
    return CallCodec.decodeOutcome(reply.getOutcome());
  }

  /**
   * Hands a sealed set over to a daemon.
   *
   * @return whether the daemon stored the complete set
   */
  CompletableFuture<Boolean> handOver(Instance successor, SealedSet set, Duration timeout) {
    CompletableFuture<Boolean> stored = new CompletableFuture<>();
    StreamObserver<SealedPart> parts =
        CallRecordsGrpc.newStub(peers.channel(successor))
            .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .handOver(new HandoverReplyObserver(stored));
    SealedPart.Builder part = newPart(set);
    int bytes = 0;
    for (SealedRecord record : set.records()) {
      var message = encode(record);
      part.addRecords(message);
      bytes += message.getSerializedSize();
      if (bytes > MAX_PART_BYTES) {
        parts.onNext(part.build());
        part = newPart(set);
        bytes = 0;
      }
    }
    parts.onNext(part.build());
    parts.onCompleted();
    return stored;
  }

  private static SealedPart.Builder newPart(SealedSet set) {
    return SealedPart.newBuilder()
        .setWitnessId(set.witness().id())
        .setWitnessIncarnation(set.witness().incarnation())
        .setSealedAtMs(set.sealedAtMillis());
  }

  private static org.heatherspread.protocol.generated.records.SealedRecord encode(
      SealedRecord record) {
    return org.heatherspread.protocol.generated.records.SealedRecord.newBuilder()
        .setDraft(CallCodec.encodeCall(record.call()))
        .setOutcome(CallCodec.encodeOutcome(record.outcome()))
        .build();
  }

  private <T> CompletableFuture<T> invoke(
      String daemonId,
      ErrorKind failureKind,
      Duration timeout,
      Function<CallRecordsFutureStub, ListenableFuture<T>> rpc) {
    Instance daemon = membership.get().member(daemonId).map(Member::instance).orElse(null);
    if (daemon == null) {
      return CompletableFuture.failedFuture(
          ServingException.of(failureKind, "unknown daemon: " + daemonId));
    }
    CallRecordsFutureStub stub =
        CallRecordsGrpc.newFutureStub(peers.channel(daemon))
            .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
    return GrpcFutures.toCompletableFuture(rpc.apply(stub), failureKind);
  }

  /** Completes a future with the single reply to a handover. */
  private record HandoverReplyObserver(CompletableFuture<Boolean> stored)
      implements StreamObserver<SealedReply> {
    @Override
    public void onNext(SealedReply reply) {
      stored.complete(reply.getKept());
    }

    @Override
    public void onError(Throwable failure) {
      stored.completeExceptionally(failure);
    }

    @Override
    public void onCompleted() {
      stored.complete(false);
    }
  }
}
