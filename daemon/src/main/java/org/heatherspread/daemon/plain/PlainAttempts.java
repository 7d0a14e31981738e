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
import org.heatherspread.daemon.poison.PoisonGuard;
import org.heatherspread.daemon.routing.EndpointFailure;
import org.heatherspread.daemon.routing.EndpointSelector;
import org.heatherspread.daemon.routing.Selection;
import org.heatherspread.daemon.routing.SelectionRequest;

/**
 * Sends a call to endpoints until one answers: again after an attempt that certainly did not run,
 * and, if the call may be repeated, after any other; within the deadline and the service's retry
 * budget, never twice at the same endpoint.
 *
 * <p>Safe for use by any thread.
 */
final class PlainAttempts {
  private final EndpointSelector selector;
  private final PoisonGuard guard;
  private final PlainTransport transport;
  private final MonotonicClock clock;
  private final MeterRegistry meters;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  PlainAttempts(
      EndpointSelector selector,
      PoisonGuard guard,
      PlainTransport transport,
      MonotonicClock clock,
      MeterRegistry meters) {
    this.selector = selector;
    this.guard = guard;
    this.transport = transport;
    this.clock = clock;
    this.meters = meters;
  }

  /**
   * Runs a call.
   *
   * @param requestId the id that all its attempts carry
   * @param repeatable whether it may be sent again after an attempt that may have run
   * @return the whole answer, or a {@link ServingException} whose kind says {@code NOT_RUN} only if
   *     no attempt ran
   */
  CompletableFuture<CallResponse> run(PlainCall call, String requestId, boolean repeatable) {
    RetryBudget budget =
        budgets.computeIfAbsent(
            call.service(), name -> RetryBudget.create(RetryBudgetSettings.defaults(), clock));
    budget.onRequest();
    return new Progress(call, requestId, repeatable, budget).attempt();
  }

  /** One call under way; its attempts follow one another, so no two threads use it at once. */
  private final class Progress {
    private final PlainCall call;
    private final String requestId;
    private final boolean repeatable;
    private final RetryBudget budget;
    private final String fingerprint;
    private final long deadlineMillis;
    private final Set<String> tried = new HashSet<>();
    private boolean mayHaveRun;

    Progress(PlainCall call, String requestId, boolean repeatable, RetryBudget budget) {
      this.call = call;
      this.requestId = requestId;
      this.repeatable = repeatable;
      this.budget = budget;
      this.fingerprint = call.digest();
      this.deadlineMillis = clock.millis() + call.timeout().toMillis();
    }

    CompletableFuture<CallResponse> attempt() {
      Duration remaining = Duration.ofMillis(deadlineMillis - clock.millis());
      if (remaining.isNegative() || remaining.isZero()) {
        return CompletableFuture.failedFuture(
            refusal(ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.DEADLINE_EXCEEDED));
      }
      Selection selection;
      try {
        selection = guard.select(fingerprint, selector, route(remaining));
      } catch (ServingException e) {
        return CompletableFuture.failedFuture(mayHaveRun ? cut(e) : e);
      }
      tried.add(selection.endpoint().id());
      selection.recordStart();
      return transport
          .send(call, selection.endpoint(), requestId, tried.size(), remaining)
          .handle((answer, failure) -> next(selection, answer, failure))
          .thenCompose(step -> step);
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

    private CompletableFuture<CallResponse> next(
        Selection selection, CallResponse answer, Throwable failure) {
      if (failure == null) {
        selection.recordCompletion();
        return CompletableFuture.completedFuture(answer);
      }
      DispatchException attempt = dispatchFailure(failure);
      selection.recordFailure(attempt.reason());
      count("heatherspread.plain.attempts.failed", attempt.reason().name());
      mayHaveRun |= !attempt.notRun();
      if (mayHaveRun && !repeatable) {
        ServingException unknown =
            ServingException.of(
                ErrorKind.OUTCOME_UNKNOWN, "the endpoint may have run it; do not repeat");
        return guard
            .settled(fingerprint)
            .thenCompose(examined -> CompletableFuture.failedFuture(unknown));
      }
      RetryReason reason = retryReason(attempt.reason());
      if (!budget.tryRetry(reason)) {
        return CompletableFuture.failedFuture(
            refusal(ErrorKind.RETRY_BUDGET_SPENT, ErrorKind.STREAM_CUT));
      }
      count("heatherspread.plain.retries", reason.name());
      return guard.settled(fingerprint).thenCompose(examined -> attempt());
    }

    private ServingException refusal(ErrorKind ifNotRun, ErrorKind otherwise) {
      return ServingException.of(mayHaveRun ? otherwise : ifNotRun, "no endpoint answered in time");
    }

    private ServingException cut(ServingException refusal) {
      if (refusal.kind() == ErrorKind.POISONED) {
        return ServingException.of(ErrorKind.ENDPOINTS_CRASHED, "endpoints crashed running it");
      }
      return ServingException.of(ErrorKind.STREAM_CUT, "no endpoint gave a whole answer");
    }
  }

  private static DispatchException dispatchFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof DispatchException attempt
        ? attempt
        : new DispatchException(EndpointFailure.BROKEN, cause);
  }

  private static RetryReason retryReason(EndpointFailure failure) {
    return switch (failure) {
      case REFUSED -> RetryReason.REFUSED;
      case UNREACHABLE -> RetryReason.UNREACHABLE;
      case SILENT -> RetryReason.SILENT;
      case ERROR -> RetryReason.ENDPOINT_ERROR;
      default -> RetryReason.CONNECTION_LOST;
    };
  }

  private void count(String name, String reason) {
    meters.counter(name, "reason", reason.toLowerCase(Locale.ROOT).replace('_', '-')).increment();
  }
}
