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
 * The operators' interface under {@code /operator/v1}. Every call needs an operator's key.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class ControlComponent implements DaemonComponent {
  private static final Duration DEFAULT_WAIT = Duration.ofSeconds(4);
  private static final Duration MAX_WAIT = Duration.ofSeconds(60);

  private final OperatorSettings operators;
  private final ConfigurationCodec codec = ConfigurationCodec.shared();
  private final Supplier<Configuration> configuration;
  private final Supplier<MembershipSnapshot> membership;
  private final Supplier<DaemonStatus> status;
  private final PlanDesk plans;
  private final Runnable drain;
  private final ProblemResponses problems;

  ControlComponent(
      OperatorSettings operators,
      Supplier<Configuration> configuration,
      Supplier<MembershipSnapshot> membership,
      Supplier<DaemonStatus> status,
      PlanDesk plans,
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

  // ---------------------------------------------------------------------------------------------
  // Routes
  // ---------------------------------------------------------------------------------------------

  @Override
  public Optional<Route> routes() {
    return Optional.of(
        pathPrefix(
            "operator",
            () -> pathPrefix("v1", () -> extractRequest(request -> forOperator(request)))));
  }

  private Route forOperator(HttpRequest request) {
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
            id -> get(() -> future(plans.find(id), plan -> answer(200, plan)))),
        path(
            PathMatchers.segment().slash("confirm"),
            id -> post(() -> parameterOptional("wait_ms", w -> confirm(id, operator, w)))));
  }

  private Route startDrain() {
    drain.run();
    return complete(answer(202, status.get()));
  }

  private Route plan(String text, String operator) {
    Intent intent;
    try {
      intent = codec.readIntent(text);
    } catch (IllegalArgumentException e) {
      throw ServingException.of(ErrorKind.MALFORMED_REQUEST, e.getMessage());
    }
    return future(plans.plan(intent, operator), plan -> answer(201, plan));
  }

  private Route confirm(String id, String operator, Optional<String> waitMillis) {
    Duration wait = waitMillis.map(ControlComponent::wait).orElse(DEFAULT_WAIT);
    return future(plans.confirm(id, operator, wait), result -> answer(200, result));
  }

  private static Duration wait(String millis) {
    try {
      Duration wait = Duration.ofMillis(Long.parseLong(millis));
      if (!wait.isNegative() && wait.compareTo(MAX_WAIT) <= 0) {
        return wait;
      }
    } catch (NumberFormatException e) {
      // Told below, as for a number out of range.
    }
    throw ServingException.of(
        ErrorKind.MALFORMED_REQUEST, "wait_ms must be a number from 0 to " + MAX_WAIT.toMillis());
  }

  // ---------------------------------------------------------------------------------------------
  // Answers
  // ---------------------------------------------------------------------------------------------

  private <T> Route future(CompletableFuture<T> result, Function<T, HttpResponse> answer) {
    return completeWithFuture(result.thenApply(answer).exceptionally(problems::toResponse));
  }

  private Route json(Object value) {
    return complete(answer(200, value));
  }

  private HttpResponse answer(int status, Object value) {
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, codec.write(value)));
  }
}
