package org.heatherspread.daemon.record;

import com.google.common.util.concurrent.ListenableFuture;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.Replica;
import org.heatherspread.core.record.ReplicaWriteResult;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.protocol.generated.records.FindRequest;
import org.heatherspread.protocol.generated.records.KeepRequest;
import org.heatherspread.protocol.generated.records.RecordReply;
import org.heatherspread.protocol.generated.records.StreamRecordsGrpc;
import org.heatherspread.protocol.generated.records.StreamRecordsGrpc.StreamRecordsFutureStub;
import org.heatherspread.protocol.generated.records.TakeOverRequest;

/**
 * Client of the records of model streams held by other daemons.
 *
 * <p>A returned future fails if the daemon is unknown or does not respond in time. Immutable and
 * thread-safe.
 */
final class StreamRecordsClient {
  private final Supplier<MembershipSnapshot> membership;
  private final PeerChannels peers;
  private final RecordSettings settings;

  StreamRecordsClient(
      Supplier<MembershipSnapshot> membership, PeerChannels peers, RecordSettings settings) {
    this.membership = membership;
    this.peers = peers;
    this.settings = settings;
  }

  CompletableFuture<ReplicaWriteResult> write(String daemonId, Replica<RequestRecord> replica) {
    KeepRequest request = KeepRequest.newBuilder().setRecord(StreamCodec.encode(replica)).build();
    return invoke(
            daemonId,
            ErrorKind.WITNESS_UNAVAILABLE,
            settings.witnessTimeout().toMillis(),
            stub -> stub.keep(request))
        .thenApply(
            reply ->
                switch (reply.getKept()) {
                  case KEPT_YES -> ReplicaWriteResult.KEPT;
                  case KEPT_TAKEN_OVER -> ReplicaWriteResult.TAKEN_OVER;
                  default -> ReplicaWriteResult.REFUSED;
                });
  }

  CompletableFuture<Optional<Replica<RequestRecord>>> find(String daemonId, RequestId id) {
    FindRequest request = FindRequest.newBuilder().setRequestId(id.toString()).build();
    return invoke(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout().toMillis(),
            stub -> stub.find(request))
        .thenApply(this::record);
  }

  CompletableFuture<Optional<Replica<RequestRecord>>> takeOver(String daemonId, RequestId id) {
    TakeOverRequest request = TakeOverRequest.newBuilder().setRequestId(id.toString()).build();
    return invoke(
            daemonId,
            ErrorKind.RECORD_UNREACHABLE,
            settings.lookupTimeout().toMillis(),
            stub -> stub.takeOver(request))
        .thenApply(this::record);
  }

  private Optional<Replica<RequestRecord>> record(RecordReply reply) {
    return reply.hasRecord()
        ? Optional.of(
            StreamCodec.decode(reply.getRecord(), settings.limits().retention().toMillis()))
        : Optional.empty();
  }

  private <T> CompletableFuture<T> invoke(
      String daemonId,
      ErrorKind failureKind,
      long timeoutMillis,
      Function<StreamRecordsFutureStub, ListenableFuture<T>> rpc) {
    Instance daemon = membership.get().member(daemonId).map(Member::instance).orElse(null);
    if (daemon == null) {
      return CompletableFuture.failedFuture(
          ServingException.of(failureKind, "unknown daemon: " + daemonId));
    }
    StreamRecordsFutureStub stub =
        StreamRecordsGrpc.newFutureStub(peers.channel(daemon))
            .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS);
    return GrpcFutures.toCompletableFuture(rpc.apply(stub), failureKind);
  }
}
