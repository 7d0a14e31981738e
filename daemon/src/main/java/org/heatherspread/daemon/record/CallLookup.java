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
 * Finds the outcome of a call at its keepers: the owner, then the witness, then the daemon that
 * took over from a stopped witness. A keeper that does not answer is passed over; if none knows,
 * the outcome is unknown.
 *
 * <p>Immutable; safe for use by any thread. Wire {@link #peek} into {@code GET /v1/requests/{id}}.
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

  /** One place that may know. */
  private record Place(Keeper keeper, String daemonId) {}

  /**
   * Resolves a call that was sent again. A keeper that never saw its id closes it, so that {@code
   * NOT_RUN} stays true. The future never fails.
   */
  public CompletableFuture<CallOutcome> resolve(CallDescriptor draft) {
    return ask(places(draft.id()), 0, (place, id) -> resolveAt(place, draft), draft.id());
  }

  /**
   * Looks up a call without changing anything; {@code NOT_HELD} if the keepers answered and none
   * has it, {@code UNKNOWN} if it may be at a keeper that did not answer. The future never fails.
   */
  public CompletableFuture<CallOutcome> peek(RequestId id, String account) {
    return ask(places(id), 0, (place, same) -> peekAt(place, same, account), id);
  }

  private List<Place> places(RequestId id) {
    List<Place> places = new ArrayList<>();
    places.add(new Place(Keeper.KEEPER_OWNER, id.owner().id()));
    places.add(new Place(Keeper.KEEPER_WITNESS, id.witness().id()));
    for (String successor : successors.successors(id.witness())) {
      places.add(new Place(Keeper.KEEPER_SUCCESSOR, successor));
    }
    return places;
  }

  private CompletableFuture<CallOutcome> ask(
      List<Place> places,
      int index,
      BiFunction<Place, RequestId, CompletableFuture<CallOutcome>> question,
      RequestId id) {
    if (index == places.size()) {
      return CompletableFuture.completedFuture(CallOutcome.notHeld());
    }
    Place place = places.get(index);
    return question
        .apply(place, id)
        .exceptionally(failure -> CallOutcome.unknown())
        .thenCompose(
            outcome -> {
              count(place, outcome);
              if (outcome.isConclusive()) {
                return CompletableFuture.completedFuture(outcome);
              }
              return ask(places, index + 1, question, id).thenApply(next -> better(outcome, next));
            });
  }

  /** Of two answers that leave the matter open, "may have run" outweighs "not here". */
  private static CallOutcome better(CallOutcome first, CallOutcome next) {
    return next.state() == CallState.NOT_HELD ? first : next;
  }

  private void count(Place place, CallOutcome outcome) {
    meters
        .counter(
            "heatherspread.records.lookups",
            "keeper",
            place.keeper().name().toLowerCase(Locale.ROOT).replace("keeper_", ""),
            "state",
            outcome.state().name().toLowerCase(Locale.ROOT))
        .increment();
  }

  private CompletableFuture<CallOutcome> resolveAt(Place place, CallDescriptor draft) {
    if (!place.daemonId().equals(tables.self().id())) {
      return client.resolve(place.daemonId(), draft, place.keeper());
    }
    return CompletableFuture.completedFuture(
        switch (place.keeper()) {
          case KEEPER_OWNER -> tables.owner().resolve(draft);
          case KEEPER_WITNESS -> tables.witness().resolve(draft);
          default -> tables.archive().resolve(draft);
        });
  }

  private CompletableFuture<CallOutcome> peekAt(Place place, RequestId id, String account) {
    if (!place.daemonId().equals(tables.self().id())) {
      return client.peek(place.daemonId(), id, account, place.keeper());
    }
    return CompletableFuture.completedFuture(
        switch (place.keeper()) {
          case KEEPER_OWNER -> tables.owner().peek(id, account);
          case KEEPER_WITNESS -> tables.witness().peek(id, account);
          default -> tables.archive().peek(id, account);
        });
  }
}
