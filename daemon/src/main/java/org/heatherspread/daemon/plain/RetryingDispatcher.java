package org.heatherspread.daemon.plain;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryBudgetSettings;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.poison.PoisonFilterComponent;
import org.heatherspread.daemon.routing.EndpointFailure;
import org.heatherspread.daemon.routing.EndpointSelector;
import org.heatherspread.daemon.routing.Selection;
import org.heatherspread.daemon.routing.SelectionRequest;

/**
 * Sends a call to endpoints until one responds.
 *
 * <p>Retries after an attempt that did not run and, if the call may be repeated, after any failed
 * attempt. Retries are limited by the deadline and by the retry budget of the service, and each
 * uses an endpoint that was not tried before. Thread-safe.
 */
final class RetryingDispatcher {
  private final EndpointSelector selector;
  private final PoisonFilterComponent poisonFilter;
  private final PlainTransport transport;
  private final MonotonicClock clock;
  private final MeterRegistry meters;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  RetryingDispatcher(
      EndpointSelector selector,
      PoisonFilterComponent poisonFilter,
      PlainTransport transport,
      MonotonicClock clock,
      MeterRegistry meters) {
    this.selector = selector;
    this.poisonFilter = poisonFilter;
    this.transport = transport;
    this.clock = clock;
    this.meters = meters;
  }

  /**
   * Runs a call.
   *
   * @param requestId id sent with every attempt
   * @param repeatable whether the call may be sent again after an attempt that may have run
   * @return the complete response; fails with a {@link ServingException} of execution {@code
   *     NOT_RUN} only if no attempt ran
   */
  CompletableFuture<CallResponse> run(PlainCall call, String requestId, boolean repeatable) {
    RetryBudget budget =
        budgets.computeIfAbsent(
            call.service(), name -> RetryBudget.create(RetryBudgetSettings.defaults(), clock));
    budget.onRequest();
    return new CallExecution(call, requestId, repeatable, budget).sendAttempt();
  }

  /** A call in progress. Its attempts are sequential, so only one thread uses it at a time. */
  private final class CallExecution {
    private final PlainCall call;
    private final String requestId;
    private final boolean repeatable;
    private final RetryBudget budget;
    private final String fingerprint;
    private final long deadlineMillis;
    private final Set<String> tried = new HashSet<>();
    private boolean mayHaveRun;

    CallExecution(PlainCall call, String requestId, boolean repeatable, RetryBudget budget) {
      this.call = call;
      this.requestId = requestId;
      this.repeatable = repeatable;
      this.budget = budget;
      this.fingerprint = call.digest();
      this.deadlineMillis = clock.millis() + call.timeout().toMillis();
    }

    CompletableFuture<CallResponse> sendAttempt() {
      Duration remaining = Duration.ofMillis(deadlineMillis - clock.millis());
      if (remaining.isNegative() || remaining.isZero()) {
        return CompletableFuture.failedFuture(
            noResponse(ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.DEADLINE_EXCEEDED));
      }
      Selection selection;
      try {
        selection = poisonFilter.select(fingerprint, selector, route(remaining));
      } catch (ServingException e) {
        return CompletableFuture.failedFuture(mayHaveRun ? afterPossibleRun(e) : e);
      }
      tried.add(selection.endpoint().id());
      selection.recordStart();
      return transport
          .send(call, selection.endpoint(), requestId, tried.size(), remaining)
          .handle((response, failure) -> onAttemptDone(selection, response, failure))
          .thenCompose(result -> result);
    }

    private SelectionRequest route(Duration remaining) {
      return new SelectionRequest(
          call.account().name(),
          call.service(),
          "",
          "",
          new byte[0],
          0,
          call.account().priority(),
          call.preferredDomain(),
          tried,
          remaining);
    }

    private CompletableFuture<CallResponse> onAttemptDone(
        Selection selection, CallResponse response, Throwable failure) {
      if (failure == null) {
        selection.recordCompletion();
        return CompletableFuture.completedFuture(response);
      }
      DispatchException attemptFailure = toDispatchException(failure);
      selection.recordFailure(attemptFailure.reason());
      countReason("heatherspread.plain.attempts.failed", attemptFailure.reason().name());
      mayHaveRun |= !attemptFailure.isNotRun();
      if (mayHaveRun && !repeatable) {
        ServingException unknown =
            ServingException.of(
                ErrorKind.OUTCOME_UNKNOWN, "endpoint may have run the request; do not repeat it");
        return poisonFilter
            .awaitCrashCheck(fingerprint)
            .thenCompose(ignored -> CompletableFuture.failedFuture(unknown));
      }
      RetryReason reason = toRetryReason(attemptFailure.reason());
      if (!budget.tryRetry(reason)) {
        return CompletableFuture.failedFuture(
            noResponse(ErrorKind.RETRY_BUDGET_SPENT, ErrorKind.STREAM_CUT));
      }
      countReason("heatherspread.plain.retries", reason.name());
      return poisonFilter.awaitCrashCheck(fingerprint).thenCompose(ignored -> sendAttempt());
    }

    private ServingException noResponse(ErrorKind ifNotRun, ErrorKind otherwise) {
      return ServingException.of(
          mayHaveRun ? otherwise : ifNotRun,
          "no endpoint responded before the deadline or within the retry budget");
    }

    private ServingException afterPossibleRun(ServingException refusal) {
      if (refusal.kind() == ErrorKind.POISONED) {
        return ServingException.of(
            ErrorKind.ENDPOINTS_CRASHED, "endpoints crashed while running the request");
      }
      return ServingException.of(ErrorKind.STREAM_CUT, "no endpoint returned a complete response");
    }
  }

  private static DispatchException toDispatchException(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof DispatchException exception
        ? exception
        : new DispatchException(EndpointFailure.BROKEN, cause);
  }

  private static RetryReason toRetryReason(EndpointFailure failure) {
    return switch (failure) {
      case REFUSED -> RetryReason.REFUSED;
      case UNREACHABLE -> RetryReason.UNREACHABLE;
      case SILENT -> RetryReason.SILENT;
      case ERROR -> RetryReason.ENDPOINT_ERROR;
      default -> RetryReason.CONNECTION_LOST;
    };
  }

  private void countReason(String name, String reason) {
    meters.counter(name, "reason", reason.toLowerCase(Locale.ROOT).replace('_', '-')).increment();
  }
}
