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

/** Claims of idempotency keys as JSON; bodies are base64. Immutable; safe for use by any thread. */
final class JsonClaimCodec implements ClaimCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The members of the JSON object. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  @SuppressWarnings("ArrayRecordComponent")
  private record Text(
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
    CallDescriptor draft = claim.call();
    CallResponse answer = claim.outcome().response().orElse(null);
    Text text =
        new Text(
            draft.id().toString(),
            draft.account(),
            draft.digest(),
            draft.expiresAtMillis(),
            claim.outcome().state().name().toLowerCase(Locale.ROOT),
            answer == null ? null : answer.status(),
            answer == null ? null : answer.headers(),
            answer == null ? null : answer.body());
    try {
      return MAPPER.writeValueAsString(text);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a claim could not be written", e);
    }
  }

  @Override
  public Claim decode(String json) {
    Text text;
    try {
      text = MAPPER.readValue(json, Text.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not a claim", e);
    }
    RequestId id =
        RequestId.parse(text.requestId())
            .orElseThrow(() -> new IllegalArgumentException("not a request id"));
    CallDescriptor draft = new CallDescriptor(id, text.account(), text.digest(), text.expiresAt());
    return new Claim(draft, outcome(text));
  }

  private static CallOutcome outcome(Text text) {
    return switch (text.state()) {
      case "answered" ->
          CallOutcome.answered(new CallResponse(text.status(), text.headers(), text.body()));
      case "not_run" -> CallOutcome.notRun();
      case "in_progress" -> CallOutcome.inProgress();
      default -> CallOutcome.unknown();
    };
  }
}
