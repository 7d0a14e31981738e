package org.heatherspread.daemon.record;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallState;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.protocol.generated.records.Keeper;

/**
 * Looks up the outcome of a call at its record holders: the owner, then the witness, then the
 * daemons that took over from a stopped witness.
 *
 * <p>A record holder that does not respond is skipped and counts as {@code UNKNOWN}. Immutable and
 * thread-safe.
 */
public final class CallLookup {
  private final CallTables tables;
  private final CallRecordsClient client;
  private final SuccessorDirectory successors;
  private final MeterRegistry meters;

  CallLookup(
      CallTables tables,
      CallRecordsClient client,
      SuccessorDirectory successors,
      MeterRegistry meters) {
    this.tables = tables;
    this.client = client;
    this.successors = successors;
    this.meters = meters;
  }

  /** A daemon that may hold the record, and its role. */
  private record RecordHolder(Keeper role, String daemonId) {}

  /**
   * Resolves a call that was sent again. A record holder closes an id that it does not know, so
   * that {@code NOT_RUN} remains true. The future never fails.
   */
  public CompletableFuture<CallOutcome> resolve(CallDescriptor call) {
    return queryFrom(holders(call.id()), 0, (holder, id) -> resolveAt(holder, call), call.id());
  }

  /**
   * Looks up a call without closing an unknown id. Returns {@code NOT_HELD} if all record holders
   * responded and none has the record, and {@code UNKNOWN} if one that did not respond may have it.
   * The future never fails.
   */
  public CompletableFuture<CallOutcome> peek(RequestId id, String account) {
    return queryFrom(holders(id), 0, (holder, requestId) -> peekAt(holder, requestId, account), id);
  }

  private List<RecordHolder> holders(RequestId id) {
    List<RecordHolder> holders = new ArrayList<>();
    holders.add(new RecordHolder(Keeper.KEEPER_OWNER, id.owner().id()));
    holders.add(new RecordHolder(Keeper.KEEPER_WITNESS, id.witness().id()));
    for (String successor : successors.successors(id.witness())) {
      holders.add(new RecordHolder(Keeper.KEEPER_SUCCESSOR, successor));
    }
    return holders;
  }

  private CompletableFuture<CallOutcome> queryFrom(
      List<RecordHolder> holders,
      int index,
      BiFunction<RecordHolder, RequestId, CompletableFuture<CallOutcome>> query,
      RequestId id) {
    if (index == holders.size()) {
      return CompletableFuture.completedFuture(CallOutcome.notHeld());
    }
    RecordHolder holder = holders.get(index);
    return query
        .apply(holder, id)
        .exceptionally(failure -> CallOutcome.unknown())
        .thenCompose(
            outcome -> {
              countLookup(holder, outcome);
              if (outcome.isConclusive()) {
                return CompletableFuture.completedFuture(outcome);
              }
              return queryFrom(holders, index + 1, query, id)
                  .thenApply(next -> combine(outcome, next));
            });
  }

  /**
   * Combines an inconclusive outcome with the next one; {@code UNKNOWN} outranks {@code NOT_HELD}.
   */
  private static CallOutcome combine(CallOutcome first, CallOutcome next) {
    return next.state() == CallState.NOT_HELD ? first : next;
  }

  private void countLookup(RecordHolder holder, CallOutcome outcome) {
    meters
        .counter(
            "heatherspread.records.lookups",
            "keeper",
            holder.role().name().toLowerCase(Locale.ROOT).replace("keeper_", ""),
            "state",
            outcome.state().name().toLowerCase(Locale.ROOT))
        .increment();
  }

  private CompletableFuture<CallOutcome> resolveAt(RecordHolder holder, CallDescriptor call) {
    if (!holder.daemonId().equals(tables.self().id())) {
      return client.resolve(holder.daemonId(), call, holder.role());
    }
    return CompletableFuture.completedFuture(
        switch (holder.role()) {
          case KEEPER_OWNER -> tables.owner().resolve(call);
          case KEEPER_WITNESS -> tables.witness().resolve(call);
          default -> tables.archive().resolve(call);
        });
  }

  private CompletableFuture<CallOutcome> peekAt(RecordHolder holder, RequestId id, String account) {
    if (!holder.daemonId().equals(tables.self().id())) {
      return client.peek(holder.daemonId(), id, account, holder.role());
    }
    return CompletableFuture.completedFuture(
        switch (holder.role()) {
          case KEEPER_OWNER -> tables.owner().peek(id, account);
          case KEEPER_WITNESS -> tables.witness().peek(id, account);
          default -> tables.archive().peek(id, account);
        });
  }
}
