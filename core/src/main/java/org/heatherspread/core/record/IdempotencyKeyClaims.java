package org.heatherspread.core.record;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.store.Condition;
import org.heatherspread.core.store.Row;
import org.heatherspread.core.store.RowKey;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.store.WriteResult;

/**
 * Claims idempotency keys in the table service by conditional writes that carry a random write id;
 * a lost answer is resolved by reading back.
 *
 * <p>Invariant: of all requests that ever claim one key, only one has a claim that won and was not
 * replaced, and a claim is replaced only after its request was closed without having run. A claim
 * whose write cannot be confirmed is never won, so its request never runs. Immutable; safe for use
 * by any thread.
 */
public final class IdempotencyKeyClaims {
  private static final String PARTITION_PREFIX = "claim#";

  private final TableStore store;
  private final ClaimCodec codec;
  private final Supplier<String> writeIds;

  private IdempotencyKeyClaims(TableStore store, ClaimCodec codec, Supplier<String> writeIds) {
    this.store = store;
    this.codec = codec;
    this.writeIds = writeIds;
  }

  /** Creates claims over a table service; {@code writeIds} gives a new random id on each call. */
  public static IdempotencyKeyClaims create(
      TableStore store, ClaimCodec codec, Supplier<String> writeIds) {
    return new IdempotencyKeyClaims(store, codec, writeIds);
  }

  /** Returns the row that holds the claims of one key. */
  public static RowKey rowKey(String account, String service, String key) {
    return new RowKey(PARTITION_PREFIX + account, service + "#" + key);
  }

  /**
   * Claims a key for a new request. Fails with {@code KEY_REUSED} if another call holds it, and
   * with {@code STORE_UNAVAILABLE} if the claim could not be confirmed; then the request must not
   * run.
   */
  public CompletableFuture<ClaimResult> claim(RowKey key, CallDescriptor call) {
    return write(key, 1, new Claim(call, CallOutcome.inProgress()), Condition.absent());
  }

  /** Replaces a claim whose request was closed without having run; fails as {@link #claim} does. */
  public CompletableFuture<ClaimResult> replace(RowKey key, long version, CallDescriptor call) {
    Claim claim = new Claim(call, CallOutcome.inProgress());
    return write(key, version + 1, claim, Condition.versionIs(version));
  }

  /** Keeps the outcome of the request that holds the key; true if it was written. */
  public CompletableFuture<Boolean> recordOutcome(
      RowKey key, long version, CallDescriptor call, CallOutcome outcome) {
    Claim claim = new Claim(call, outcome);
    return write(key, version + 1, claim, Condition.versionIs(version))
        .thenApply(result -> result instanceof ClaimResult.Acquired);
  }

  private CompletableFuture<ClaimResult> write(
      RowKey key, long version, Claim claim, Condition condition) {
    Row row = new Row(key, version, writeIds.get(), codec.encode(claim));
    return store
        .put(row, condition)
        .handle((result, failure) -> resolveWrite(row, claim, result, failure))
        .thenCompose(next -> next);
  }

  private CompletableFuture<ClaimResult> resolveWrite(
      Row row, Claim claim, WriteResult result, Throwable failure) {
    if (failure == null && result == WriteResult.APPLIED) {
      return CompletableFuture.completedFuture(new ClaimResult.Acquired(row.version()));
    }
    if (failure != null && kindOf(failure) != ErrorKind.STORE_OUTCOME_UNKNOWN) {
      return CompletableFuture.failedFuture(unavailable(failure));
    }
    return store
        .get(row.key())
        .handle(
            (found, readFailure) -> {
              if (readFailure != null) {
                throw unavailable(readFailure);
              }
              return resolveClaim(row, claim, found);
            });
  }

  private ClaimResult resolveClaim(Row written, Claim claim, Optional<Row> found) {
    if (found.isEmpty()) {
      throw unavailable(null);
    }
    Row row = found.get();
    if (row.writeId().equals(written.writeId())) {
      return new ClaimResult.Acquired(row.version());
    }
    Claim current = codec.decode(row.body());
    if (!current.call().digest().equals(claim.call().digest())) {
      throw ServingException.of(
          ErrorKind.KEY_REUSED, "the idempotency key was used with another request");
    }
    return new ClaimResult.AlreadyClaimed(current, row.version());
  }

  private static ErrorKind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ServingException e ? e.kind() : ErrorKind.INTERNAL;
  }

  private static ServingException unavailable(Throwable cause) {
    return ServingException.of(
        ErrorKind.STORE_UNAVAILABLE, "the idempotency key could not be claimed", cause);
  }
}
