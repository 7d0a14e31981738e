package org.heatherspread.daemon.record;

import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.record.AdmissionResult;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.protocol.generated.records.Admission;
import org.heatherspread.protocol.generated.records.Answer;
import org.heatherspread.protocol.generated.records.Draft;
import org.heatherspread.protocol.generated.records.Header;
import org.heatherspread.protocol.generated.records.Outcome;
import org.heatherspread.protocol.generated.records.State;

/**
 * Converts call records between the core types and the messages of the peer protocol. Stateless.
 */
final class CallCodec {
  private static final String ADMISSION_PREFIX = "ADMISSION_";
  private static final String STATE_PREFIX = "STATE_";

  private CallCodec() {}

  static RequestId parseRequestId(String text) {
    return RequestId.parse(text)
        .orElseThrow(() -> new IllegalArgumentException("invalid request id: " + text));
  }

  static Draft encodeCall(CallDescriptor call) {
    return Draft.newBuilder()
        .setRequestId(call.id().toString())
        .setAccount(call.account())
        .setDigest(call.digest())
        .setExpiresAtMs(call.expiresAtMillis())
        .build();
  }

  static CallDescriptor decodeCall(Draft message) {
    return new CallDescriptor(
        parseRequestId(message.getRequestId()),
        message.getAccount(),
        message.getDigest(),
        message.getExpiresAtMs());
  }

  static Admission encodeAdmission(AdmissionResult admission) {
    return Admission.valueOf(ADMISSION_PREFIX + admission.name());
  }

  /**
   * Decodes an admission. A value that this version does not know, sent by a newer daemon, counts
   * as a refusal.
   */
  static AdmissionResult decodeAdmission(Admission message) {
    for (AdmissionResult result : AdmissionResult.values()) {
      if (message.name().equals(ADMISSION_PREFIX + result.name())) {
        return result;
      }
    }
    return AdmissionResult.NOT_KEEPER;
  }

  static Outcome encodeOutcome(CallOutcome outcome) {
    Outcome.Builder builder =
        Outcome.newBuilder().setState(State.valueOf(STATE_PREFIX + outcome.state().name()));
    outcome.response().ifPresent(response -> builder.setAnswer(encodeResponse(response)));
    return builder.build();
  }

  static CallOutcome decodeOutcome(Outcome message) {
    if (message.getState() == State.STATE_ANSWERED) {
      return CallOutcome.answered(decodeResponse(message.getAnswer()));
    }
    return switch (message.getState()) {
      case STATE_IN_PROGRESS -> CallOutcome.inProgress();
      case STATE_NOT_RUN -> CallOutcome.notRun();
      case STATE_OTHER_REQUEST -> CallOutcome.otherRequest();
      case STATE_NOT_HELD -> CallOutcome.notHeld();
      default -> CallOutcome.unknown();
    };
  }

  private static Answer encodeResponse(CallResponse response) {
    Answer.Builder builder =
        Answer.newBuilder()
            .setStatus(response.status())
            .setBody(UnsafeByteOperations.unsafeWrap(response.body()));
    for (CallResponse.Header header : response.headers()) {
      builder.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
    }
    return builder.build();
  }

  private static CallResponse decodeResponse(Answer message) {
    List<CallResponse.Header> headers = new ArrayList<>();
    for (Header header : message.getHeadersList()) {
      headers.add(new CallResponse.Header(header.getName(), header.getValue()));
    }
    return new CallResponse(message.getStatus(), headers, message.getBody().toByteArray());
  }
}
