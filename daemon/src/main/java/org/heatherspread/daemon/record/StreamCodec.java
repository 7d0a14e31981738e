package org.heatherspread.daemon.record;

import com.google.protobuf.ByteString;
import java.time.Instant;
import java.util.Optional;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;
import org.heatherspread.core.record.Replica;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.request.RequestPhase;
import org.heatherspread.protocol.generated.records.StreamRecord;

/** Converts records of model streams to and from messages of the peer protocol. Stateless. */
final class StreamCodec {
  private StreamCodec() {}

  static StreamRecord encode(Replica<RequestRecord> replica) {
    RequestRecord record = replica.value();
    RequestDescriptor request = record.request();
    RecordProgress progress = record.progress();
    StreamRecord.Builder message =
        StreamRecord.newBuilder()
            .setRequestId(record.requestId())
            .setEpoch(replica.epoch())
            .setHolder(replica.ownerId())
            .setSequence(replica.sequence())
            .setClosed(replica.closed())
            .setAccount(request.account())
            .setService(request.service())
            .setVersion(request.version())
            .setBody(ByteString.copyFrom(request.body()))
            .setRepeatable(request.repeatable())
            .setDeadlineMs(request.deadline().toEpochMilli())
            .setPhase(progress.phase().name())
            .setAttempt(progress.attempt())
            .setEndpointId(progress.endpointId())
            .setEndpointUrl(progress.endpointUrl())
            .setEngineStreamId(progress.engineStreamId())
            .setBaseOffset(progress.baseOffset())
            .setPrefix(progress.prefix());
    record
        .outcome()
        .ifPresent(
            outcome -> {
              message.setErrorKind(outcome.error().map(ErrorKind::name).orElse(""));
              message.setExecution(outcome.execution().name());
            });
    return message.build();
  }

  /**
   * Decodes a record.
   *
   * @throws IllegalArgumentException if the id or an enum value is unknown
   */
  static Replica<RequestRecord> decode(StreamRecord message, long retentionMillis) {
    RequestDescriptor request =
        new RequestDescriptor(
            message.getAccount(),
            message.getService(),
            message.getVersion(),
            message.getBody().toByteArray(),
            message.getRepeatable(),
            Instant.ofEpochMilli(message.getDeadlineMs()));
    RecordProgress progress =
        new RecordProgress(
            RequestPhase.valueOf(message.getPhase()),
            message.getAttempt(),
            message.getEndpointId(),
            message.getEndpointUrl(),
            message.getEngineStreamId(),
            message.getBaseOffset(),
            message.getPrefix());
    RequestRecord record =
        new RequestRecord(message.getRequestId(), request, progress, decodeOutcome(message));
    RequestId id = CallCodec.parseRequestId(message.getRequestId());
    return toReplica(
        id,
        message.getEpoch(),
        message.getSequence(),
        message.getHolder(),
        record,
        retentionMillis);
  }

  /** Wraps a record as a replica for the table. */
  static Replica<RequestRecord> toReplica(
      RequestId id,
      long epoch,
      long sequence,
      String ownerId,
      RequestRecord record,
      long retentionMillis) {
    long bytes = record.request().body().length + (long) record.progress().prefix().length();
    long expiresAtMillis = record.request().deadline().toEpochMilli() + retentionMillis;
    return new Replica<>(
        id, epoch, sequence, record.outcome().isPresent(), bytes, expiresAtMillis, ownerId, record);
  }

  private static Optional<RecordOutcome> decodeOutcome(StreamRecord message) {
    if (!message.getClosed()) {
      return Optional.empty();
    }
    Optional<ErrorKind> error =
        message.getErrorKind().isEmpty()
            ? Optional.empty()
            : Optional.of(ErrorKind.valueOf(message.getErrorKind()));
    Execution execution = Execution.valueOf(message.getExecution());
    return Optional.of(new RecordOutcome(error, execution, Optional.empty()));
  }
}
