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

/** Keeps records of model streams for other daemons. Safe for use by any thread. */
final class StreamRecordsService extends StreamRecordsGrpc.StreamRecordsImplBase {
  private final ReplicaTable<RequestRecord> table;
  private final long retentionMillis;

  StreamRecordsService(ReplicaTable<RequestRecord> table, long retentionMillis) {
    this.table = table;
    this.retentionMillis = retentionMillis;
  }

  @Override
  public void keep(KeepRequest request, StreamObserver<KeepReply> replies) {
    answer(
        replies,
        () -> {
          Replica<RequestRecord> copy = StreamCodec.decode(request.getRecord(), retentionMillis);
          return KeepReply.newBuilder().setKept(kept(copy)).build();
        });
  }

  private Kept kept(Replica<RequestRecord> copy) {
    return switch (table.writeFromPeer(copy)) {
      case KEPT -> Kept.KEPT_YES;
      case TAKEN_OVER -> Kept.KEPT_TAKEN_OVER;
      case REFUSED -> Kept.KEPT_REFUSED;
    };
  }

  @Override
  public void find(FindRequest request, StreamObserver<RecordReply> replies) {
    answer(replies, () -> reply(table.find(CallCodec.requestId(request.getRequestId()))));
  }

  @Override
  public void takeOver(TakeOverRequest request, StreamObserver<RecordReply> replies) {
    answer(replies, () -> reply(table.takeOver(CallCodec.requestId(request.getRequestId()))));
  }

  private static RecordReply reply(Optional<Replica<RequestRecord>> found) {
    RecordReply.Builder reply = RecordReply.newBuilder();
    found.ifPresent(copy -> reply.setRecord(StreamCodec.encode(copy)));
    return reply.build();
  }

  private static <T> void answer(StreamObserver<T> replies, Supplier<T> work) {
    T reply;
    try {
      reply = work.get();
    } catch (IllegalArgumentException e) {
      replies.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asException());
      return;
    }
    replies.onNext(reply);
    replies.onCompleted();
  }
}
