package org.heatherspread.daemon.control;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.apache.pekko.http.javadsl.server.Directives.completeWithFuture;
import static org.apache.pekko.http.javadsl.server.Directives.concat;
import static org.apache.pekko.http.javadsl.server.Directives.entity;
import static org.apache.pekko.http.javadsl.server.Directives.extractRequest;
import static org.apache.pekko.http.javadsl.server.Directives.get;
import static org.apache.pekko.http.javadsl.server.Directives.parameterOptional;
import static org.apache.pekko.http.javadsl.server.Directives.path;
import static org.apache.pekko.http.javadsl.server.Directives.pathEnd;
import static org.apache.pekko.http.javadsl.server.Directives.pathPrefix;
import static org.apache.pekko.http.javadsl.server.Directives.post;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.Intent;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.config.ConfigurationCodec;
import org.heatherspread.daemon.http.BearerKey;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.settings.OperatorSettings;

/**
 * HTTP API for operators under {@code /operator/v1}. Every request requires the key of an operator.
 *
 * <p>Immutable and thread-safe.
 */
public final class OperatorComponent implements DaemonComponent {
  private static final Duration DEFAULT_CONFIRM_WAIT = Duration.ofSeconds(4);
  private static final Duration MAX_CONFIRM_WAIT = Duration.ofSeconds(60);

  private final OperatorSettings operators;
  private final ConfigurationCodec codec = ConfigurationCodec.shared();
  private final Supplier<Configuration> configuration;
  private final Supplier<MembershipSnapshot> membership;
  private final Supplier<DaemonStatus> status;
  private final PlanService plans;
  private final Runnable drain;
  private final ProblemResponses problems;

  OperatorComponent(
      OperatorSettings operators,
      Supplier<Configuration> configuration,
      Supplier<MembershipSnapshot> membership,
      Supplier<DaemonStatus> status,
      PlanService plans,
      Runnable drain,
      ProblemResponses problems) {
    this.operators = operators;
    this.configuration = configuration;
    this.membership = membership;
    this.status = status;
    this.plans = plans;
    this.drain = drain;
    this.problems = problems;
  }

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        pathPrefix(
            "operator",
            () -> pathPrefix("v1", () -> extractRequest(request -> operatorRoutes(request)))));
  }

  private Route operatorRoutes(HttpRequest request) {
    Optional<String> operator = BearerKey.of(request).flatMap(operators::findOperator);
    if (operator.isEmpty()) {
      return complete(
          problems.toResponse(
              ServingException.of(ErrorKind.UNAUTHENTICATED, "an operator's key is needed")));
    }
    return concat(
        path("config", () -> get(() -> json(configuration.get()))),
        path("members", () -> get(() -> json(MemberView.of(membership.get())))),
        path("status", () -> get(() -> json(status.get()))),
        path("drain", () -> post(this::startDrain)),
        pathPrefix("plans", () -> planRoutes(operator.get())));
  }

  private Route planRoutes(String operator) {
    return concat(
        pathEnd(() -> post(() -> entity(Unmarshaller.entityToString(), t -> plan(t, operator)))),
        path(
            PathMatchers.segment(),
            id -> get(() -> completeWith(plans.find(id), plan -> jsonResponse(200, plan)))),
        path(
            PathMatchers.segment().slash("confirm"),
            id -> post(() -> parameterOptional("wait_ms", w -> confirm(id, operator, w)))));
  }

  private Route startDrain() {
    drain.run();
    return complete(jsonResponse(202, status.get()));
  }

  private Route plan(String text, String operator) {
    Intent intent;
    try {
      intent = codec.readIntent(text);
    } catch (IllegalArgumentException e) {
      throw ServingException.of(ErrorKind.MALFORMED_REQUEST, e.getMessage());
    }
    return completeWith(plans.create(intent, operator), plan -> jsonResponse(201, plan));
  }

  private Route confirm(String id, String operator, Optional<String> waitMillis) {
    Duration wait = waitMillis.map(OperatorComponent::parseWait).orElse(DEFAULT_CONFIRM_WAIT);
    return completeWith(plans.confirm(id, operator, wait), result -> jsonResponse(200, result));
  }

  private static Duration parseWait(String millis) {
    try {
      Duration wait = Duration.ofMillis(Long.parseLong(millis));
      if (!wait.isNegative() && wait.compareTo(MAX_CONFIRM_WAIT) <= 0) {
        return wait;
      }
    } catch (NumberFormatException e) {
      // Falls through to the error for numbers out of range.
    }
    throw ServingException.of(
        ErrorKind.MALFORMED_REQUEST,
        "wait_ms must be a number from 0 to " + MAX_CONFIRM_WAIT.toMillis());
  }

  private <T> Route completeWith(
      CompletableFuture<T> result, Function<T, HttpResponse> toResponse) {
    return completeWithFuture(result.thenApply(toResponse).exceptionally(problems::toResponse));
  }

  private Route json(Object value) {
    return complete(jsonResponse(200, value));
  }

  private HttpResponse jsonResponse(int status, Object value) {
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, codec.write(value)));
  }
}
