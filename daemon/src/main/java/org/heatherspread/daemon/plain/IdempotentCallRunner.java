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
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.record.CallLookup;
import org.heatherspread.daemon.record.CallRunner;

/**
 * Runs calls that carry an idempotency key.
 *
 * <p>The key is claimed in the table service before dispatch; a repeated call gets the outcome of
 * the call that holds the key. Immutable and thread-safe.
 */
final class IdempotentCallRunner {
  /** Larger responses are not written to the table service, whose rows are small. */
  private static final int MAX_STORED_RESPONSE_BYTES = 128 * 1024;

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

  /** A call, its key and the function that dispatches it. */
  private record KeyedCall(
      RowKey key, CallDescriptor call, Supplier<CompletableFuture<CallResponse>> dispatch) {}

  /** Runs a call under its key, or returns the outcome of the call that holds the key. */
  CompletableFuture<CallResponse> run(
      RowKey key, CallDescriptor call, Supplier<CompletableFuture<CallResponse>> dispatch) {
    KeyedCall keyedCall = new KeyedCall(key, call, dispatch);
    return claims.claim(key, call).thenCompose(result -> onClaimResult(keyedCall, result));
  }

  private CompletableFuture<CallResponse> onClaimResult(KeyedCall keyedCall, ClaimResult result) {
    if (result instanceof ClaimResult.Acquired acquired) {
      countEvent("won");
      return runner
          .run(keyedCall.call(), keyedCall.dispatch())
          .whenComplete(
              (response, failure) ->
                  recordOutcome(keyedCall, acquired.version(), response, failure));
    }
    ClaimResult.AlreadyClaimed existing = (ClaimResult.AlreadyClaimed) result;
    countEvent("taken");
    CallOutcome storedOutcome = existing.claim().outcome();
    if (storedOutcome.state() != CallState.IN_PROGRESS) {
      return onOutcome(keyedCall, existing, storedOutcome);
    }
    return lookup
        .resolve(existing.claim().call())
        .thenCompose(outcome -> onOutcome(keyedCall, existing, outcome));
  }

  /** Replaces the claim of a call that did not run; any other outcome is returned. */
  private CompletableFuture<CallResponse> onOutcome(
      KeyedCall keyedCall, ClaimResult.AlreadyClaimed existing, CallOutcome outcome) {
    if (outcome.state() != CallState.NOT_RUN) {
      return CallRunner.toResponse(outcome);
    }
    return claims
        .replace(keyedCall.key(), existing.version(), keyedCall.call())
        .thenCompose(result -> onClaimResult(keyedCall, result));
  }

  private void recordOutcome(
      KeyedCall keyedCall, long version, CallResponse response, Throwable failure) {
    claims
        .recordOutcome(keyedCall.key(), version, keyedCall.call(), outcomeOf(response, failure))
        .whenComplete(
            (written, error) -> countEvent(error == null && written ? "settled" : "settle_failed"));
  }

  private static CallOutcome outcomeOf(CallResponse response, Throwable failure) {
    if (failure == null) {
      return response.body().length <= MAX_STORED_RESPONSE_BYTES
          ? CallOutcome.answered(response)
          : CallOutcome.unknown();
    }
    boolean notRun = ProblemResponses.unwrap(failure).kind().execution() == Execution.NOT_RUN;
    return notRun ? CallOutcome.notRun() : CallOutcome.unknown();
  }

  private void countEvent(String event) {
    meters.counter("heatherspread.claims", "event", event).increment();
  }
}
