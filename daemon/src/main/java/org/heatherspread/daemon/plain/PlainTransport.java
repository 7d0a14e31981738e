package org.heatherspread.daemon.plain;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.CallResponse.Header;
import org.heatherspread.daemon.routing.EndpointFailure;

/**
 * Sends one attempt of a call to an endpoint over a new connection.
 *
 * <p>A new connection per attempt costs a round trip within the region, but makes the outcome
 * certain in more cases: if the connection was never established, the call was not sent; no pool
 * retries a request on its own; and no stale connection is used. Immutable and thread-safe.
 */
final class PlainTransport {
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String ATTEMPT_HEADER = "X-Attempt";
  private static final String NOT_RUN_HEADER = "X-Not-Run";
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long CONNECT_STATE_WAIT_MILLIS = 200;

  private final ActorSystem<?> system;
  private final PlainSettings settings;

  PlainTransport(ActorSystem<?> system, PlainSettings settings) {
    this.system = system;
    this.settings = settings;
  }

  /** Sends an attempt; a failed attempt completes the future with a {@link DispatchException}. */
  CompletableFuture<CallResponse> send(
      PlainCall call, Instance endpoint, String requestId, int attempt, Duration timeout) {
    CompletableFuture<CallResponse> result = new CompletableFuture<>();
    PendingAttempt pending = startAttempt(call, endpoint, requestId, attempt, timeout);
    pending
        .response()
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete(
            (response, failure) -> {
              pending.killSwitch().shutdown();
              if (failure == null) {
                completeAttempt(result, response, requestId, attempt);
              } else {
                failAttempt(result, pending.connection(), failure);
              }
            });
    return result;
  }

  /** An attempt whose response is pending. */
  private record PendingAttempt(
      UniqueKillSwitch killSwitch,
      CompletionStage<OutgoingConnection> connection,
      CompletionStage<HttpResponse> response) {}

  private PendingAttempt startAttempt(
      PlainCall call, Instance endpoint, String requestId, int attempt, Duration timeout) {
    Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection =
        Http.get(system)
            .connectionTo(endpoint.host())
            .toPort(endpoint.port())
            .withClientConnectionSettings(connectionSettings(timeout))
            .http();
    HttpRequest request = createRequest(call, requestId, attempt);
    Pair<Pair<UniqueKillSwitch, CompletionStage<OutgoingConnection>>, CompletionStage<HttpResponse>>
        stages =
            Source.single(request)
                .concat(Source.maybe())
                .viaMat(KillSwitches.single(), Keep.right())
                .viaMat(connection, Keep.both())
                .mapAsync(1, response -> readBody(response, timeout))
                .toMat(Sink.head(), Keep.both())
                .run(system);
    return new PendingAttempt(stages.first().first(), stages.first().second(), stages.second());
  }

  private ClientConnectionSettings connectionSettings(Duration timeout) {
    return ClientConnectionSettings.create(system.classicSystem())
        .withConnectingTimeout(
            scala.jdk.javaapi.DurationConverters.toScala(settings.connectTimeout()))
        .withIdleTimeout(scala.jdk.javaapi.DurationConverters.toScala(timeout));
  }

  /**
   * Reads the complete body. A close-delimited body is rejected, because a truncated one cannot be
   * detected.
   */
  private CompletionStage<HttpResponse> readBody(HttpResponse response, Duration timeout) {
    if (response.entity().isCloseDelimited()) {
      response.discardEntityBytes(system);
      return CompletableFuture.failedFuture(new DispatchException(EndpointFailure.ERROR, null));
    }
    return response
        .entity()
        .withSizeLimit(settings.maxBodyBytes())
        .toStrict(timeout.toMillis(), system)
        .thenApply(response::withEntity);
  }

  private static HttpRequest createRequest(PlainCall call, String requestId, int attempt) {
    List<HttpHeader> headers = new ArrayList<>();
    for (Header header : call.headers()) {
      headers.add(RawHeader.create(header.name(), header.value()));
    }
    headers.add(RawHeader.create(REQUEST_ID_HEADER, requestId));
    headers.add(RawHeader.create(ATTEMPT_HEADER, Integer.toString(attempt)));
    HttpRequest request =
        HttpRequest.create(call.requestTarget())
            .withMethod(
                HttpMethods.lookup(call.method())
                    .orElseGet(() -> HttpMethods.custom(call.method(), false, false, null)))
            .withHeaders(headers);
    if (call.body().length == 0 && call.contentType().isEmpty()) {
      return request;
    }
    ContentType type =
        call.contentType().map(ContentTypes::parse).orElse(ContentTypes.APPLICATION_OCTET_STREAM);
    return request.withEntity(type, call.body());
  }

  private static void completeAttempt(
      CompletableFuture<CallResponse> result,
      HttpResponse response,
      String requestId,
      int attempt) {
    int status = response.status().intValue();
    if (status == SERVICE_UNAVAILABLE
        && "true".equalsIgnoreCase(header(response, NOT_RUN_HEADER).orElse(""))) {
      result.completeExceptionally(new DispatchException(EndpointFailure.REFUSED, null));
      return;
    }
    boolean matches =
        header(response, REQUEST_ID_HEADER).filter(requestId::equals).isPresent()
            && header(response, ATTEMPT_HEADER)
                .filter(Integer.toString(attempt)::equals)
                .isPresent();
    if (!matches) {
      result.completeExceptionally(new DispatchException(EndpointFailure.ERROR, null));
      return;
    }
    result.complete(toCallResponse(response));
  }

  private static CallResponse toCallResponse(HttpResponse response) {
    List<Header> headers = new ArrayList<>();
    ContentType type = response.entity().getContentType();
    if (!type.equals(ContentTypes.NO_CONTENT_TYPE)) {
      headers.add(new Header("Content-Type", type.toString()));
    }
    headers.addAll(HeaderFilter.forwardable(response.getHeaders()));
    byte[] body =
        ((org.apache.pekko.http.javadsl.model.HttpEntity.Strict) response.entity())
            .getData()
            .toArray();
    return new CallResponse(response.status().intValue(), headers, body);
  }

  private static Optional<String> header(HttpResponse response, String name) {
    return response.getHeader(name).map(HttpHeader::value);
  }

  /**
   * Fails with {@code UNREACHABLE} if the connection was never established, and otherwise with a
   * reason that means that the call may have run. The failure may be signalled before the result of
   * the connect, so that result is awaited for a short time.
   */
  private static void failAttempt(
      CompletableFuture<CallResponse> result,
      CompletionStage<OutgoingConnection> connectResult,
      Throwable cause) {
    EndpointFailure ifConnected =
        cause instanceof TimeoutException ? EndpointFailure.SILENT : EndpointFailure.BROKEN;
    CompletableFuture.completedFuture(null)
        .thenCompose(ignored -> connectResult)
        .handle(
            (connection, connectFailure) ->
                connectFailure == null ? ifConnected : EndpointFailure.UNREACHABLE)
        .completeOnTimeout(ifConnected, CONNECT_STATE_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        .thenAccept(reason -> result.completeExceptionally(new DispatchException(reason, cause)));
  }
}
