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
import org.heatherspread.daemon.http.ProblemResponses;

/**
 * Runs calls that must not be repeated, each at most once, as their owner.
 *
 * <p>A call is recorded in the owner table, acknowledged by the witness, dispatched, and its
 * outcome is reported to the witness. Immutable and thread-safe.
 */
public final class CallRunner {
  private final CallTables tables;
  private final CallRecordsClient client;
  private final MeterRegistry meters;
  private final long maxReportWaitMillis;

  CallRunner(
      CallTables tables, CallRecordsClient client, Duration maxReportWait, MeterRegistry meters) {
    this.maxReportWaitMillis = maxReportWait.toMillis();
    this.tables = tables;
    this.client = client;
    this.meters = meters;
  }

  /**
   * Runs a call whose id names this daemon as owner. If the call was begun before, returns its
   * recorded outcome instead.
   *
   * @param dispatch invoked at most once; its future may fail with a {@link ServingException} of
   *     execution {@code NOT_RUN} only if no endpoint ran the call
   * @return the complete response; fails with a {@link ServingException}
   */
  public CompletableFuture<CallResponse> run(
      CallDescriptor call, Supplier<CompletableFuture<CallResponse>> dispatch) {
    AdmissionResult ownerAdmission = tables.owner().begin(call);
    countAdmission("owner", ownerAdmission);
    if (ownerAdmission == AdmissionResult.KNOWN) {
      return toResponse(tables.owner().resolve(call));
    }
    if (ownerAdmission != AdmissionResult.ADMITTED) {
      return CompletableFuture.failedFuture(refusalFor(ownerAdmission));
    }
    return client
        .acknowledgeDispatch(call)
        .handle((admission, failure) -> failure == null ? admission : null)
        .thenCompose(admission -> onWitnessAdmission(call, admission, dispatch));
  }

  private CompletableFuture<CallResponse> onWitnessAdmission(
      CallDescriptor call,
      AdmissionResult admission,
      Supplier<CompletableFuture<CallResponse>> dispatch) {
    if (admission != null) {
      countAdmission("witness", admission);
    }
    if (admission != AdmissionResult.ADMITTED) {
      return closeBeforeDispatch(call, admission);
    }
    if (!tables.owner().tryAcquireDispatch(call.id())) {
      return toResponse(tables.owner().resolve(call));
    }
    return startDispatch(dispatch)
        .handle((response, failure) -> finish(call, response, failure))
        .thenCompose(result -> result);
  }

  private static CompletableFuture<CallResponse> startDispatch(
      Supplier<CompletableFuture<CallResponse>> dispatch) {
    try {
      return dispatch.get();
    } catch (ServingException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<CallResponse> closeBeforeDispatch(
      CallDescriptor call, AdmissionResult admission) {
    if (!tables.owner().closeBeforeDispatch(call.id())) {
      return toResponse(tables.owner().resolve(call));
    }
    report(call, CallOutcome.notRun());
    ServingException refusal =
        admission == null
            ? ServingException.of(ErrorKind.WITNESS_UNAVAILABLE, "witness did not respond")
            : refusalFor(admission);
    return CompletableFuture.failedFuture(refusal);
  }

  private CompletableFuture<CallResponse> finish(
      CallDescriptor call, CallResponse response, Throwable failure) {
    CallOutcome outcome = outcomeOf(response, failure);
    tables.owner().finish(call.id(), outcome);
    return report(call, outcome)
        .completeOnTimeout(null, maxReportWaitMillis, TimeUnit.MILLISECONDS)
        .thenCompose(
            done ->
                failure == null
                    ? CompletableFuture.completedFuture(response)
                    : CompletableFuture.failedFuture(ProblemResponses.unwrap(failure)));
  }

  private static CallOutcome outcomeOf(CallResponse response, Throwable failure) {
    if (failure == null) {
      return CallOutcome.answered(response);
    }
    ServingException error = ProblemResponses.unwrap(failure);
    return error.kind().execution() == Execution.NOT_RUN
        ? CallOutcome.notRun()
        : CallOutcome.unknown();
  }

  /**
   * Reports the outcome to the witness. If the report is lost, the witness returns {@code UNKNOWN},
   * which is still correct.
   */
  private CompletableFuture<Void> report(CallDescriptor call, CallOutcome outcome) {
    return client
        .report(call, outcome)
        .exceptionally(
            failure -> {
              meters.counter("heatherspread.records.reports.lost").increment();
              return null;
            });
  }

  /**
   * Returns the response of an answered call; for any other outcome the future fails with a {@link
   * ServingException} of the matching kind.
   */
  public static CompletableFuture<CallResponse> toResponse(CallOutcome outcome) {
    if (outcome.response().isPresent()) {
      return CompletableFuture.completedFuture(outcome.response().get());
    }
    return CompletableFuture.failedFuture(errorFor(outcome));
  }

  private static ServingException errorFor(CallOutcome outcome) {
    return switch (outcome.state()) {
      case IN_PROGRESS -> ServingException.of(ErrorKind.IN_PROGRESS, "request is still running");
      case NOT_RUN ->
          ServingException.of(
              ErrorKind.REQUEST_CLOSED, "request did not run and will never run under this id");
      case OTHER_REQUEST ->
          ServingException.of(ErrorKind.KEY_REUSED, "request id was used with a different request");
      default ->
          ServingException.of(ErrorKind.OUTCOME_UNKNOWN, "request may have run; do not repeat it");
    };
  }

  private static ServingException refusalFor(AdmissionResult admission) {
    return switch (admission) {
      case EXPIRED ->
          ServingException.of(ErrorKind.PERMIT_REJECTED, "execution permit has expired");
      case FULL -> ServingException.of(ErrorKind.OVERLOADED, "request record table is full");
      case SEALED -> ServingException.of(ErrorKind.DAEMON_LEAVING, "a record holder is stopping");
      case CLOSED ->
          ServingException.of(ErrorKind.REQUEST_CLOSED, "request was closed before it ran");
      default ->
          ServingException.of(
              ErrorKind.PERMIT_REJECTED,
              "execution permit names another incarnation of its owner or witness");
    };
  }

  private void countAdmission(String recordHolder, AdmissionResult admission) {
    meters
        .counter(
            "heatherspread.records.admittance",
            "keeper",
            recordHolder,
            "answer",
            admission.name().toLowerCase(Locale.ROOT))
        .increment();
  }
}
