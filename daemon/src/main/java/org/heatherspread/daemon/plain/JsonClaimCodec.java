package org.heatherspread.daemon.plain;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Locale;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.Claim;
import org.heatherspread.core.record.ClaimCodec;
import org.heatherspread.core.record.RequestId;

/** Encodes claims of idempotency keys as JSON with base64 bodies. Immutable and thread-safe. */
final class JsonClaimCodec implements ClaimCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The stored JSON object; component names are its member names. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  @SuppressWarnings("ArrayRecordComponent")
  private record ClaimDocument(
      String requestId,
      String account,
      String digest,
      long expiresAt,
      String state,
      Integer status,
      List<CallResponse.Header> headers,
      byte[] body) {}

  @Override
  public String encode(Claim claim) {
    CallDescriptor call = claim.call();
    CallResponse response = claim.outcome().response().orElse(null);
    ClaimDocument document =
        new ClaimDocument(
            call.id().toString(),
            call.account(),
            call.digest(),
            call.expiresAtMillis(),
            claim.outcome().state().name().toLowerCase(Locale.ROOT),
            response == null ? null : response.status(),
            response == null ? null : response.headers(),
            response == null ? null : response.body());
    try {
      return MAPPER.writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize a claim", e);
    }
  }

  @Override
  public Claim decode(String json) {
    ClaimDocument document;
    try {
      document = MAPPER.readValue(json, ClaimDocument.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("invalid claim", e);
    }
    RequestId id =
        RequestId.parse(document.requestId())
            .orElseThrow(() -> new IllegalArgumentException("invalid request id in a claim"));
    CallDescriptor call =
        new CallDescriptor(id, document.account(), document.digest(), document.expiresAt());
    return new Claim(call, decodeOutcome(document));
  }

  private static CallOutcome decodeOutcome(ClaimDocument document) {
    return switch (document.state()) {
      case "answered" ->
          CallOutcome.answered(
              new CallResponse(document.status(), document.headers(), document.body()));
      case "not_run" -> CallOutcome.notRun();
      case "in_progress" -> CallOutcome.inProgress();
      default -> CallOutcome.unknown();
    };
  }
}
