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
 * Sends one attempt of a call to one endpoint over a connection of its own. A new connection per
 * attempt costs a round trip within the region and gains certainty: a connection that was never
 * established carried nothing, no pool repeats a request by itself, and no connection is used that
 * went silent.
 *
 * <p>Immutable; safe for use by any thread.
 */
final class PlainTransport {
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String ATTEMPT = "X-Attempt";
  private static final String NOT_RUN = "X-Not-Run";
  private static final int UNAVAILABLE = 503;
  private static final long SETTLE_MILLIS = 200;

  private final ActorSystem<?> system;
  private final PlainSettings settings;

  PlainTransport(ActorSystem<?> system, PlainSettings settings) {
    this.system = system;
    this.settings = settings;
  }

  /** Sends an attempt; the future fails with a {@link DispatchException}. */
  CompletableFuture<CallResponse> send(
      PlainCall call, Instance endpoint, String requestId, int attempt, Duration timeout) {
    CompletableFuture<CallResponse> result = new CompletableFuture<>();
    Running running = start(call, endpoint, requestId, attempt, timeout);
    running
        .answer()
        .toCompletableFuture()
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete(
            (response, failure) -> {
              running.stop().shutdown();
              if (failure == null) {
                complete(result, response, requestId, attempt);
              } else {
                fail(result, running.connected(), failure);
              }
            });
    return result;
  }

  /** One attempt on its way. */
  private record Running(
      UniqueKillSwitch stop,
      CompletionStage<OutgoingConnection> connected,
      CompletionStage<HttpResponse> answer) {}

  private Running start(
      PlainCall call, Instance endpoint, String requestId, int attempt, Duration timeout) {
    Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection =
        Http.get(system)
            .connectionTo(endpoint.host())
            .toPort(endpoint.port())
            .withClientConnectionSettings(connectionSettings(timeout))
            .http();
    HttpRequest request = request(call, requestId, attempt);
    Pair<Pair<UniqueKillSwitch, CompletionStage<OutgoingConnection>>, CompletionStage<HttpResponse>>
        stages =
            Source.single(request)
                .concat(Source.maybe())
                .viaMat(KillSwitches.single(), Keep.right())
                .viaMat(connection, Keep.both())
                .mapAsync(1, response -> whole(response, timeout))
                .toMat(Sink.head(), Keep.both())
                .run(system);
    return new Running(stages.first().first(), stages.first().second(), stages.second());
  }

  private ClientConnectionSettings connectionSettings(Duration timeout) {
    return ClientConnectionSettings.create(system.classicSystem())
        .withConnectingTimeout(
            scala.jdk.javaapi.DurationConverters.toScala(settings.connectTimeout()))
        .withIdleTimeout(scala.jdk.javaapi.DurationConverters.toScala(timeout));
  }

  /** Reads the whole body; one that ends with the connection may be cut and is refused. */
  private CompletionStage<HttpResponse> whole(HttpResponse response, Duration timeout) {
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

  private static HttpRequest request(PlainCall call, String requestId, int attempt) {
    List<HttpHeader> headers = new ArrayList<>();
    for (Header header : call.headers()) {
      headers.add(RawHeader.create(header.name(), header.value()));
    }
    headers.add(RawHeader.create(REQUEST_ID, requestId));
    headers.add(RawHeader.create(ATTEMPT, Integer.toString(attempt)));
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

  private static void complete(
      CompletableFuture<CallResponse> result,
      HttpResponse response,
      String requestId,
      int attempt) {
    int status = response.status().intValue();
    if (status == UNAVAILABLE && "true".equalsIgnoreCase(header(response, NOT_RUN).orElse(""))) {
      result.completeExceptionally(new DispatchException(EndpointFailure.REFUSED, null));
      return;
    }
    boolean own =
        header(response, REQUEST_ID).filter(requestId::equals).isPresent()
            && header(response, ATTEMPT).filter(Integer.toString(attempt)::equals).isPresent();
    if (!own) {
      result.completeExceptionally(new DispatchException(EndpointFailure.ERROR, null));
      return;
    }
    result.complete(answer(response));
  }

  private static CallResponse answer(HttpResponse response) {
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
   * Tells a connection that was never established from all that may have carried the call. The
   * failure may be seen before the state of the connection, which is given a moment to settle.
   */
  private static void fail(
      CompletableFuture<CallResponse> result,
      CompletionStage<OutgoingConnection> connected,
      Throwable cause) {
    EndpointFailure other =
        cause instanceof TimeoutException ? EndpointFailure.SILENT : EndpointFailure.BROKEN;
    CompletableFuture.completedFuture(null)
        .thenCompose(nothing -> connected)
        .handle((connection, refusal) -> refusal == null ? other : EndpointFailure.UNREACHABLE)
        .completeOnTimeout(other, SETTLE_MILLIS, TimeUnit.MILLISECONDS)
        .thenAccept(reason -> result.completeExceptionally(new DispatchException(reason, cause)));
  }
}
