package org.heatherspread.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaType;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Retry;
import org.heatherspread.core.error.ServingException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Converts failures to responses in the problem details format (RFC 9457) and counts them by kind.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ProblemResponses {
  private static final Logger logger = LoggerFactory.getLogger(ProblemResponses.class);
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final MediaType.WithFixedCharset PROBLEM_JSON =
      MediaTypes.customWithFixedCharset(
          "application",
          "problem+json",
          org.apache.pekko.http.javadsl.model.HttpCharsets.UTF_8,
          Map.of(),
          false);
  private static final ObjectWriter WRITER = new ObjectMapper().writerFor(Problem.class);

  private final Map<ErrorKind, Counter> refusals = new EnumMap<>(ErrorKind.class);

  private ProblemResponses(MeterRegistry meters) {
    for (ErrorKind kind : ErrorKind.values()) {
      refusals.put(
          kind,
          Counter.builder("heatherspread.refusals")
              .description("Requests answered with an error, by kind")
              .tag("kind", kind.code())
              .register(meters));
    }
  }

  /** Creates a converter and registers a counter for each kind. */
  public static ProblemResponses create(MeterRegistry meters) {
    return new ProblemResponses(meters);
  }

  /** Converts the failure of a request that has no id yet. */
  public HttpResponse toResponse(Throwable failure) {
    return toResponse(failure, Optional.empty());
  }

  /**
   * Converts a failure; anything but a {@link ServingException} is reported and logged as an
   * internal error.
   */
  public HttpResponse toResponse(Throwable failure, Optional<String> requestId) {
    ServingException error = classify(failure, requestId);
    ErrorKind kind = error.kind();
    refusals.get(kind).increment();
    HttpResponse response =
        HttpResponse.create()
            .withStatus(
                org.apache.pekko.http.javadsl.model.StatusCodes.custom(
                    kind.status(), kind.title(), kind.title(), false, true))
            .withEntity(PROBLEM_JSON.toContentType(), body(error, requestId));
    if (requestId.isPresent()) {
      response = response.addHeader(RawHeader.create("X-Request-Id", requestId.get()));
    }
    if (kind.retry() != Retry.AFTER_DELAY) {
      return response;
    }
    Duration delay = error.retryAfter().orElse(DEFAULT_RETRY_AFTER);
    long seconds = Math.max(1, (delay.toMillis() + 999) / 1_000);
    return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
  }

  /**
   * Returns the {@link ServingException} inside the wrappers of a future, or an internal error for
   * any other failure.
   */
  public static ServingException unwrap(Throwable failure) {
    Throwable cause = failure;
    while ((cause instanceof CompletionException || cause instanceof ExecutionException)
        && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof ServingException error) {
      return error;
    }
    return ServingException.of(ErrorKind.INTERNAL, "Internal error", cause);
  }

  private static ServingException classify(Throwable failure, Optional<String> requestId) {
    ServingException error = unwrap(failure);
    if (error.kind() == ErrorKind.INTERNAL) {
      logger
          .atError()
          .addKeyValue("request_id", requestId.orElse(""))
          .setCause(error.getCause())
          .log("request failed with an internal error");
    }
    return error;
  }

  private static ByteString body(ServingException error, Optional<String> requestId) {
    ErrorKind kind = error.kind();
    Problem problem =
        new Problem(
            "urn:heatherspread:error:" + kind.code(),
            kind.title(),
            kind.status(),
            error.getMessage(),
            kind.code(),
            kind.execution().name().toLowerCase(Locale.ROOT),
            kind.retry().name().toLowerCase(Locale.ROOT),
            requestId.orElse(null));
    try {
      return ByteString.fromArray(WRITER.writeValueAsBytes(problem));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("problem details could not be serialized", e);
    }
  }

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Problem(
      String type,
      String title,
      int status,
      String detail,
      String kind,
      String execution,
      String retry,
      @JsonProperty("request_id") String requestId) {}
}
