package org.heatherspread.daemon.record;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.Execution;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.record.AdmissionResult;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.daemon.http.ProblemAnswers;

/**
 * Runs calls that may not be repeated, each at most once, as their owner: record here, have the
 * witness acknowledge, dispatch, report the outcome.
 *
 * <p>Immutable; safe for use by any thread.
 */
public final class CallRunner {
  private final CallTables tables;
  private final CallRecordsClient client;
  private final MeterRegistry meters;
  private final long reportWaitMillis;

  CallRunner(
      CallTables tables, CallRecordsClient client, Duration reportWait, MeterRegistry meters) {
    this.reportWaitMillis = reportWait.toMillis();
    this.tables = tables;
    this.client = client;
    this.meters = meters;
  }

  /**
   * Runs a call whose id names this daemon as owner, unless it was begun before; then its outcome
   * is given.
   *
   * @param dispatch called at most once; its future fails with a {@link ServingException} whose
   *     kind says {@code NOT_RUN} only if no endpoint ran the call
   * @return the whole answer, or a {@link ServingException}
   */
  public CompletableFuture<CallResponse> run(
      CallDescriptor draft, Supplier<CompletableFuture<CallResponse>> dispatch) {
    AdmissionResult admittance = tables.owner().begin(draft);
    count("owner", admittance);
    if (admittance == AdmissionResult.KNOWN) {
      return toResponse(tables.owner().resolve(draft));
    }
    if (admittance != AdmissionResult.ADMITTED) {
      return CompletableFuture.failedFuture(refusal(admittance));
    }
    return client
        .acknowledgeDispatch(draft)
        .handle((reply, failure) -> failure == null ? reply : null)
        .thenCompose(reply -> afterWitness(draft, reply, dispatch));
  }

  private CompletableFuture<CallResponse> afterWitness(
      CallDescriptor draft,
      AdmissionResult reply,
      Supplier<CompletableFuture<CallResponse>> dispatch) {
    if (reply != null) {
      count("witness", reply);
    }
    if (reply != AdmissionResult.ADMITTED) {
      return closeBeforeDispatch(draft, reply);
    }
    if (!tables.owner().tryAcquireDispatch(draft.id())) {
      return toResponse(tables.owner().resolve(draft));
    }
    return start(dispatch)
        .handle((answer, failure) -> end(draft, answer, failure))
        .thenCompose(ended -> ended);
  }

  private static CompletableFuture<CallResponse> start(
      Supplier<CompletableFuture<CallResponse>> dispatch) {
    try {
      return dispatch.get();
    } catch (ServingException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<CallResponse> closeBeforeDispatch(
      CallDescriptor draft, AdmissionResult reply) {
    if (!tables.owner().closeBeforeDispatch(draft.id())) {
      return toResponse(tables.owner().resolve(draft));
    }
    report(draft, CallOutcome.notRun());
    ServingException refusal =
        reply == null
            ? ServingException.of(ErrorKind.WITNESS_UNAVAILABLE, "the witness did not answer")
            : refusal(reply);
    return CompletableFuture.failedFuture(refusal);
  }

  private CompletableFuture<CallResponse> end(
      CallDescriptor draft, CallResponse answer, Throwable failure) {
    CallOutcome outcome = outcome(answer, failure);
    tables.owner().finish(draft.id(), outcome);
    return report(draft, outcome)
        .completeOnTimeout(null, reportWaitMillis, TimeUnit.MILLISECONDS)
        .thenCompose(
            done ->
                failure == null
                    ? CompletableFuture.completedFuture(answer)
                    : CompletableFuture.failedFuture(ProblemAnswers.unwrap(failure)));
  }

  private static CallOutcome outcome(CallResponse answer, Throwable failure) {
    if (failure == null) {
      return CallOutcome.answered(answer);
    }
    ServingException error = ProblemAnswers.unwrap(failure);
    return error.kind().execution() == Execution.NOT_RUN
        ? CallOutcome.notRun()
        : CallOutcome.unknown();
  }

  /** Tells the witness; if this is lost the witness says unknown, which is true. */
  private CompletableFuture<Void> report(CallDescriptor draft, CallOutcome outcome) {
    return client
        .report(draft, outcome)
        .exceptionally(
            failure -> {
              meters.counter("heatherspread.records.reports.lost").increment();
              return null;
            });
  }

  /** Turns a call's outcome into its answer or error. */
  public static CompletableFuture<CallResponse> toResponse(CallOutcome outcome) {
    if (outcome.response().isPresent()) {
      return CompletableFuture.completedFuture(outcome.response().get());
    }
    return CompletableFuture.failedFuture(error(outcome));
  }

  private static ServingException error(CallOutcome outcome) {
    return switch (outcome.state()) {
      case IN_PROGRESS ->
          ServingException.of(ErrorKind.IN_PROGRESS, "the request is still running");
      case NOT_RUN ->
          ServingException.of(
              ErrorKind.REQUEST_CLOSED, "the request did not run and never will under this id");
      case OTHER_REQUEST ->
          ServingException.of(ErrorKind.KEY_REUSED, "the id was used with another request");
      default ->
          ServingException.of(ErrorKind.OUTCOME_UNKNOWN, "the request may have run; do not repeat");
    };
  }

  private static ServingException refusal(AdmissionResult admittance) {
    return switch (admittance) {
      case EXPIRED -> ServingException.of(ErrorKind.PERMIT_REJECTED, "the permit has expired");
      case FULL -> ServingException.of(ErrorKind.OVERLOADED, "no room for the request's record");
      case SEALED -> ServingException.of(ErrorKind.DAEMON_LEAVING, "a keeper is stopping");
      case CLOSED ->
          ServingException.of(ErrorKind.REQUEST_CLOSED, "the request was closed before it ran");
      default ->
          ServingException.of(
              ErrorKind.PERMIT_REJECTED, "the permit names another life of its keepers");
    };
  }

  private void count(String keeper, AdmissionResult admittance) {
    meters
        .counter(
            "heatherspread.records.admittance",
            "keeper",
            keeper,
            "answer",
            admittance.name().toLowerCase(Locale.ROOT))
        .increment();
  }
}
