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
 * Claims idempotency keys in the table service. Conditional writes carry a random write id, so a
 * write whose response was lost is resolved by reading the row.
 *
 * <p>Invariant: of all calls that claim a key, at most one holds an acquired claim that was not
 * replaced, and a claim is replaced only after its call was closed without having run. A claim
 * whose write cannot be confirmed is never acquired, so its call does not run. Immutable and
 * thread-safe.
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

  /**
   * Creates claims over a table service; {@code writeIds} supplies a new random id for each write.
   */
  public static IdempotencyKeyClaims create(
      TableStore store, ClaimCodec codec, Supplier<String> writeIds) {
    return new IdempotencyKeyClaims(store, codec, writeIds);
  }

  /** Returns the row key for an idempotency key. */
  public static RowKey rowKey(String account, String service, String key) {
    return new RowKey(PARTITION_PREFIX + account, service + "#" + key);
  }

  /**
   * Claims a key for a new call. Fails with {@code KEY_REUSED} if a different call holds the key,
   * and with {@code STORE_UNAVAILABLE} if the claim could not be confirmed; the call must not run
   * then.
   */
  public CompletableFuture<ClaimResult> claim(RowKey key, CallDescriptor call) {
    return write(key, 1, new Claim(call, CallOutcome.inProgress()), Condition.absent());
  }

  /** Replaces a claim whose call was closed without having run; fails as {@link #claim} does. */
  public CompletableFuture<ClaimResult> replace(RowKey key, long version, CallDescriptor call) {
    Claim claim = new Claim(call, CallOutcome.inProgress());
    return write(key, version + 1, claim, Condition.versionIs(version));
  }

  /** Records the outcome of the call that holds the key; returns whether it was written. */
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
