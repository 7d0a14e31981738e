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

/** Translates the records of calls between core and the inner protocol. Stateless. */
final class CallCodec {
  private static final String ADMISSION_PREFIX = "ADMISSION_";
  private static final String STATE_PREFIX = "STATE_";

  private CallCodec() {}

  static RequestId requestId(String text) {
    return RequestId.parse(text)
        .orElseThrow(() -> new IllegalArgumentException("not a request id: " + text));
  }

  static Draft encodeCall(CallDescriptor draft) {
    return Draft.newBuilder()
        .setRequestId(draft.id().toString())
        .setAccount(draft.account())
        .setDigest(draft.digest())
        .setExpiresAtMs(draft.expiresAtMillis())
        .build();
  }

  static CallDescriptor decodeCall(Draft message) {
    return new CallDescriptor(
        requestId(message.getRequestId()),
        message.getAccount(),
        message.getDigest(),
        message.getExpiresAtMs());
  }

  static Admission encodeAdmission(AdmissionResult admittance) {
    return Admission.valueOf(ADMISSION_PREFIX + admittance.name());
  }

  /** Reads an admission; one of a later version that is not known here is a refusal. */
  static AdmissionResult decodeAdmission(Admission message) {
    for (AdmissionResult each : AdmissionResult.values()) {
      if (message.name().equals(ADMISSION_PREFIX + each.name())) {
        return each;
      }
    }
    return AdmissionResult.NOT_KEEPER;
  }

  static Outcome encodeOutcome(CallOutcome outcome) {
    Outcome.Builder builder =
        Outcome.newBuilder().setState(State.valueOf(STATE_PREFIX + outcome.state().name()));
    outcome.response().ifPresent(answer -> builder.setAnswer(encodeAnswer(answer)));
    return builder.build();
  }

  static CallOutcome decodeOutcome(Outcome message) {
    if (message.getState() == State.STATE_ANSWERED) {
      return CallOutcome.answered(decodeAnswer(message.getAnswer()));
    }
    return switch (message.getState()) {
      case STATE_IN_PROGRESS -> CallOutcome.inProgress();
      case STATE_NOT_RUN -> CallOutcome.notRun();
      case STATE_OTHER_REQUEST -> CallOutcome.otherRequest();
      case STATE_NOT_HELD -> CallOutcome.notHeld();
      default -> CallOutcome.unknown();
    };
  }

  private static Answer encodeAnswer(CallResponse answer) {
    Answer.Builder builder =
        Answer.newBuilder()
            .setStatus(answer.status())
            .setBody(UnsafeByteOperations.unsafeWrap(answer.body()));
    for (CallResponse.Header header : answer.headers()) {
      builder.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value()));
    }
    return builder.build();
  }

  private static CallResponse decodeAnswer(Answer message) {
    List<CallResponse.Header> headers = new ArrayList<>();
    for (Header header : message.getHeadersList()) {
      headers.add(new CallResponse.Header(header.getName(), header.getValue()));
    }
    return new CallResponse(message.getStatus(), headers, message.getBody().toByteArray());
  }
}
