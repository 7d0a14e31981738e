package org.heatherspread.daemon.record;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.function.Supplier;
import org.heatherspread.core.record.Replica;
import org.heatherspread.core.record.ReplicaTable;
import org.heatherspread.protocol.generated.records.FindRequest;
import org.heatherspread.protocol.generated.records.KeepReply;
import org.heatherspread.protocol.generated.records.KeepRequest;
import org.heatherspread.protocol.generated.records.Kept;
import org.heatherspread.protocol.generated.records.RecordReply;
import org.heatherspread.protocol.generated.records.StreamRecordsGrpc;
import org.heatherspread.protocol.generated.records.TakeOverRequest;

/** Stores and serves records of model streams for other daemons. Thread-safe. */
final class StreamRecordsService extends StreamRecordsGrpc.StreamRecordsImplBase {
  private final ReplicaTable<RequestRecord> table;
  private final long retentionMillis;

  StreamRecordsService(ReplicaTable<RequestRecord> table, long retentionMillis) {
    this.table = table;
    this.retentionMillis = retentionMillis;
  }

  @Override
  public void keep(KeepRequest request, StreamObserver<KeepReply> responseObserver) {
    respond(
        responseObserver,
        () -> {
          Replica<RequestRecord> replica = StreamCodec.decode(request.getRecord(), retentionMillis);
          return KeepReply.newBuilder().setKept(write(replica)).build();
        });
  }

  private Kept write(Replica<RequestRecord> replica) {
    return switch (table.writeFromPeer(replica)) {
      case KEPT -> Kept.KEPT_YES;
      case TAKEN_OVER -> Kept.KEPT_TAKEN_OVER;
      case REFUSED -> Kept.KEPT_REFUSED;
    };
  }

  @Override
  public void find(FindRequest request, StreamObserver<RecordReply> responseObserver) {
    respond(
        responseObserver,
        () -> toReply(table.find(CallCodec.parseRequestId(request.getRequestId()))));
  }

  @Override
  public void takeOver(TakeOverRequest request, StreamObserver<RecordReply> responseObserver) {
    respond(
        responseObserver,
        () -> toReply(table.takeOver(CallCodec.parseRequestId(request.getRequestId()))));
  }

  private static RecordReply toReply(Optional<Replica<RequestRecord>> found) {
    RecordReply.Builder reply = RecordReply.newBuilder();
    found.ifPresent(replica -> reply.setRecord(StreamCodec.encode(replica)));
    return reply.build();
  }

  private static <T> void respond(StreamObserver<T> responseObserver, Supplier<T> handler) {
    T reply;
    try {
      reply = handler.get();
    } catch (IllegalArgumentException e) {
      responseObserver.onError(
          Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asException());
      return;
    }
    responseObserver.onNext(reply);
    responseObserver.onCompleted();
  }
}
