package org.heatherspread.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ProblemResponsesTest {
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final ProblemResponses problems = ProblemResponses.create(meters);

  @ParameterizedTest
  @EnumSource(ErrorKind.class)
  void everyKindIsConvertedAndCounted(ErrorKind kind) throws Exception {
    HttpResponse response =
        problems.toResponse(ServingException.of(kind, "because"), Optional.of("r1"));
    assertThat(response.status().intValue()).isEqualTo(kind.status());
    JsonNode body = body(response);
    assertThat(body.get("kind").asText()).isEqualTo(kind.code());
    assertThat(body.get("detail").asText()).isEqualTo("because");
    assertThat(body.get("request_id").asText()).isEqualTo("r1");
    assertThat(meters.counter("heatherspread.refusals", "kind", kind.code()).count()).isOne();
  }

  @Test
  void retryAfterIsRoundedUpToWholeSeconds() {
    ServingException error =
        ServingException.of(ErrorKind.OVERLOADED, "full").withRetryAfter(Duration.ofMillis(1_200));
    HttpResponse response = problems.toResponse(new CompletionException(error));
    assertThat(response.getHeader("Retry-After").orElseThrow().value()).isEqualTo("2");
  }

  @Test
  void untypedFailureIsInternalAndHidesItsMessage() throws Exception {
    JsonNode body = body(problems.toResponse(new IllegalStateException("secret")));
    assertThat(body.get("kind").asText()).isEqualTo("internal");
    assertThat(body.toString()).doesNotContain("secret");
  }

  private static JsonNode body(HttpResponse response) throws Exception {
    HttpEntity.Strict entity = (HttpEntity.Strict) response.entity();
    return new ObjectMapper().readTree(entity.getData().toArray());
  }
}
