package org.heatherspread.daemon.record;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.DaemonRef;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.record.SealedRecord;
import org.heatherspread.core.record.SealedSet;
import org.heatherspread.protocol.generated.records.CallRecordsGrpc;
import org.heatherspread.protocol.generated.records.DispatchingReply;
import org.heatherspread.protocol.generated.records.DispatchingRequest;
import org.heatherspread.protocol.generated.records.OutcomeReply;
import org.heatherspread.protocol.generated.records.PeekRequest;
import org.heatherspread.protocol.generated.records.ReportReply;
import org.heatherspread.protocol.generated.records.ReportRequest;
import org.heatherspread.protocol.generated.records.ResolveRequest;
import org.heatherspread.protocol.generated.records.SealedPart;
import org.heatherspread.protocol.generated.records.SealedReply;

/** Answers other daemons from this daemon's tables. Safe for use by any thread. */
final class CallRecordsService extends CallRecordsGrpc.CallRecordsImplBase {
  private final CallTables tables;
  private final WitnessHandover handOver;
  private final Duration longestLife;

  CallRecordsService(CallTables tables, WitnessHandover handOver, Duration longestLife) {
    this.tables = tables;
    this.handOver = handOver;
    this.longestLife = longestLife;
  }

  @Override
  public void dispatching(DispatchingRequest request, StreamObserver<DispatchingReply> replies) {
    answer(
        replies,
        () -> {
          CallDescriptor draft = CallCodec.decodeCall(request.getDraft());
          return DispatchingReply.newBuilder()
              .setAdmission(CallCodec.encodeAdmission(tables.witness().acknowledgeDispatch(draft)))
              .build();
        });
  }

  @Override
  public void report(ReportRequest request, StreamObserver<ReportReply> replies) {
    answer(
        replies,
        () -> {
          CallDescriptor draft = CallCodec.decodeCall(request.getDraft());
          CallOutcome outcome = CallCodec.decodeOutcome(request.getOutcome());
          tables.witness().recordOutcome(draft, outcome);
          tables.archive().recordOutcome(draft, outcome);
          handOver.forwardOutcome(draft, outcome);
          return ReportReply.getDefaultInstance();
        });
  }

  @Override
  public void resolve(ResolveRequest request, StreamObserver<OutcomeReply> replies) {
    answer(replies, () -> reply(resolve(request)));
  }

  private CallOutcome resolve(ResolveRequest request) {
    CallDescriptor draft = CallCodec.decodeCall(request.getDraft());
    return switch (request.getKeeper()) {
      case KEEPER_OWNER -> tables.owner().resolve(draft);
      case KEEPER_WITNESS -> tables.witness().resolve(draft);
      case KEEPER_SUCCESSOR -> tables.archive().resolve(draft);
      default -> CallOutcome.notHeld();
    };
  }

  @Override
  public void peek(PeekRequest request, StreamObserver<OutcomeReply> replies) {
    answer(replies, () -> reply(peek(request)));
  }

  private CallOutcome peek(PeekRequest request) {
    RequestId id = CallCodec.requestId(request.getRequestId());
    return switch (request.getKeeper()) {
      case KEEPER_OWNER -> tables.owner().peek(id, request.getAccount());
      case KEEPER_WITNESS -> tables.witness().peek(id, request.getAccount());
      case KEEPER_SUCCESSOR -> tables.archive().peek(id, request.getAccount());
      default -> CallOutcome.notHeld();
    };
  }

  private static OutcomeReply reply(CallOutcome outcome) {
    return OutcomeReply.newBuilder().setOutcome(CallCodec.encodeOutcome(outcome)).build();
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

  @Override
  public StreamObserver<SealedPart> handOver(StreamObserver<SealedReply> replies) {
    return new SealedReceiver(replies);
  }

  /** Gathers one sealed set; it counts only when the sender ended it without an error. */
  private final class SealedReceiver implements StreamObserver<SealedPart> {
    private final StreamObserver<SealedReply> replies;
    private final List<SealedRecord> records = new ArrayList<>();
    private SealedPart head;

    SealedReceiver(StreamObserver<SealedReply> replies) {
      this.replies = replies;
    }

    @Override
    public void onNext(SealedPart part) {
      head = part;
      for (var record : part.getRecordsList()) {
        records.add(
            new SealedRecord(
                CallCodec.decodeCall(record.getDraft()),
                CallCodec.decodeOutcome(record.getOutcome())));
      }
    }

    @Override
    public void onError(Throwable failure) {
      records.clear();
    }

    @Override
    public void onCompleted() {
      boolean kept = head != null && tables.archive().accept(set(), longestLife);
      replies.onNext(SealedReply.newBuilder().setKept(kept).build());
      replies.onCompleted();
    }

    private SealedSet set() {
      DaemonRef witness = new DaemonRef(head.getWitnessId(), head.getWitnessIncarnation());
      return new SealedSet(witness, head.getSealedAtMs(), records);
    }
  }
}
