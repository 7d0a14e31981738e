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

/** Serves requests of other daemons from the call tables of this daemon. Thread-safe. */
final class CallRecordsService extends CallRecordsGrpc.CallRecordsImplBase {
  private final CallTables tables;
  private final WitnessHandover handover;
  private final Duration maxPermitLifetime;

  CallRecordsService(CallTables tables, WitnessHandover handover, Duration maxPermitLifetime) {
    this.tables = tables;
    this.handover = handover;
    this.maxPermitLifetime = maxPermitLifetime;
  }

  @Override
  public void dispatching(
      DispatchingRequest request, StreamObserver<DispatchingReply> responseObserver) {
    respond(
        responseObserver,
        () -> {
          CallDescriptor call = CallCodec.decodeCall(request.getDraft());
          return DispatchingReply.newBuilder()
              .setAdmission(CallCodec.encodeAdmission(tables.witness().acknowledgeDispatch(call)))
              .build();
        });
  }

  @Override
  public void report(ReportRequest request, StreamObserver<ReportReply> responseObserver) {
    respond(
        responseObserver,
        () -> {
          CallDescriptor call = CallCodec.decodeCall(request.getDraft());
          CallOutcome outcome = CallCodec.decodeOutcome(request.getOutcome());
          tables.witness().recordOutcome(call, outcome);
          tables.archive().recordOutcome(call, outcome);
          handover.forwardOutcome(call, outcome);
          return ReportReply.getDefaultInstance();
        });
  }

  @Override
  public void resolve(ResolveRequest request, StreamObserver<OutcomeReply> responseObserver) {
    respond(responseObserver, () -> toReply(findOutcome(request)));
  }

  private CallOutcome findOutcome(ResolveRequest request) {
    CallDescriptor call = CallCodec.decodeCall(request.getDraft());
    return switch (request.getKeeper()) {
      case KEEPER_OWNER -> tables.owner().resolve(call);
      case KEEPER_WITNESS -> tables.witness().resolve(call);
      case KEEPER_SUCCESSOR -> tables.archive().resolve(call);
      default -> CallOutcome.notHeld();
    };
  }

  @Override
  public void peek(PeekRequest request, StreamObserver<OutcomeReply> responseObserver) {
    respond(responseObserver, () -> toReply(peekOutcome(request)));
  }

  private CallOutcome peekOutcome(PeekRequest request) {
    RequestId id = CallCodec.parseRequestId(request.getRequestId());
    return switch (request.getKeeper()) {
      case KEEPER_OWNER -> tables.owner().peek(id, request.getAccount());
      case KEEPER_WITNESS -> tables.witness().peek(id, request.getAccount());
      case KEEPER_SUCCESSOR -> tables.archive().peek(id, request.getAccount());
      default -> CallOutcome.notHeld();
    };
  }

  private static OutcomeReply toReply(CallOutcome outcome) {
    return OutcomeReply.newBuilder().setOutcome(CallCodec.encodeOutcome(outcome)).build();
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

  @Override
  public StreamObserver<SealedPart> handOver(StreamObserver<SealedReply> responseObserver) {
    return new SealedSetObserver(responseObserver);
  }

  /** Collects one sealed set, which is stored only if the sender completes the stream. */
  private final class SealedSetObserver implements StreamObserver<SealedPart> {
    private final StreamObserver<SealedReply> responseObserver;
    private final List<SealedRecord> records = new ArrayList<>();
    private SealedPart lastPart;

    SealedSetObserver(StreamObserver<SealedReply> responseObserver) {
      this.responseObserver = responseObserver;
    }

    @Override
    public void onNext(SealedPart part) {
      lastPart = part;
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
      boolean stored = lastPart != null && tables.archive().accept(sealedSet(), maxPermitLifetime);
      responseObserver.onNext(SealedReply.newBuilder().setKept(stored).build());
      responseObserver.onCompleted();
    }

    private SealedSet sealedSet() {
      DaemonRef witness = new DaemonRef(lastPart.getWitnessId(), lastPart.getWitnessIncarnation());
      return new SealedSet(witness, lastPart.getSealedAtMs(), records);
    }
  }
}
