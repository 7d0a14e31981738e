package org.heatherspread.daemon.plain;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heatherspread.core.error.Execution;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.CallState;
import org.heatherspread.core.record.ClaimResult;
import org.heatherspread.core.record.IdempotencyKeyClaims;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.daemon.http.ProblemAnswers;
import org.heatherspread.daemon.record.CallLookup;
import org.heatherspread.daemon.record.CallRunner;

/**
 * Runs calls that carry an idempotency key: the key is claimed in the table service before
 * dispatch, and a repeated call gets the outcome of the one that holds the key.
 *
 * <p>Immutable; safe for use by any thread.
 */
final class IdempotentCallRunner {
  /** An answer above this size is not written to the table service, whose rows are small. */
  private static final int MAX_STORED_BYTES = 128 * 1024;

  private final IdempotencyKeyClaims claims;
  private final CallRunner runner;
  private final CallLookup lookup;
  private final MeterRegistry meters;

  IdempotentCallRunner(
      TableStore store, CallRunner runner, CallLookup lookup, MeterRegistry meters) {
    this.claims =
        IdempotencyKeyClaims.create(
            store, new JsonClaimCodec(), () -> UUID.randomUUID().toString());
    this.runner = runner;
    this.lookup = lookup;
    this.meters = meters;
  }

  /** One call and how to dispatch it. */
  private record Work(
      RowKey key, CallDescriptor draft, Supplier<CompletableFuture<CallResponse>> dispatch) {}

  /** Runs a call under its key, or answers from the call that holds the key. */
  CompletableFuture<CallResponse> run(
      RowKey key, CallDescriptor draft, Supplier<CompletableFuture<CallResponse>> dispatch) {
    Work work = new Work(key, draft, dispatch);
    return claims.claim(key, draft).thenCompose(result -> afterClaim(work, result));
  }

  private CompletableFuture<CallResponse> afterClaim(Work work, ClaimResult result) {
    if (result instanceof ClaimResult.Acquired won) {
      count("won");
      return runner
          .run(work.draft(), work.dispatch())
          .whenComplete((answer, failure) -> settle(work, won.version(), answer, failure));
    }
    ClaimResult.AlreadyClaimed taken = (ClaimResult.AlreadyClaimed) result;
    count("taken");
    CallOutcome known = taken.claim().outcome();
    if (known.state() != CallState.IN_PROGRESS) {
      return afterLookup(work, taken, known);
    }
    return lookup
        .resolve(taken.claim().call())
        .thenCompose(outcome -> afterLookup(work, taken, outcome));
  }

  /** A key whose call was closed without having run is free for the repeated call. */
  private CompletableFuture<CallResponse> afterLookup(
      Work work, ClaimResult.AlreadyClaimed taken, CallOutcome outcome) {
    if (outcome.state() != CallState.NOT_RUN) {
      return CallRunner.toResponse(outcome);
    }
    return claims
        .replace(work.key(), taken.version(), work.draft())
        .thenCompose(result -> afterClaim(work, result));
  }

  private void settle(Work work, long version, CallResponse answer, Throwable failure) {
    claims
        .recordOutcome(work.key(), version, work.draft(), outcome(answer, failure))
        .whenComplete(
            (written, lost) -> count(lost == null && written ? "settled" : "settle_failed"));
  }

  private static CallOutcome outcome(CallResponse answer, Throwable failure) {
    if (failure == null) {
      return answer.body().length <= MAX_STORED_BYTES
          ? CallOutcome.answered(answer)
          : CallOutcome.unknown();
    }
    boolean notRun = ProblemAnswers.unwrap(failure).kind().execution() == Execution.NOT_RUN;
    return notRun ? CallOutcome.notRun() : CallOutcome.unknown();
  }

  private void count(String event) {
    meters.counter("heatherspread.claims", "event", event).increment();
  }
}
