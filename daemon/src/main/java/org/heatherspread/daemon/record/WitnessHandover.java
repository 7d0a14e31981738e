package org.heatherspread.daemon.record;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.record.CallDescriptor;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.record.CallState;
import org.heatherspread.core.record.SealedRecord;
import org.heatherspread.core.record.SealedSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives the records that a stopping daemon keeps as witness to one that stays: seals the table,
 * waits a while for outcomes that owners still owe, hands the set over whole, and passes on
 * outcomes that come later.
 *
 * <p>Safe for use by any thread.
 */
final class WitnessHandover {
  private static final Logger logger = LoggerFactory.getLogger(WitnessHandover.class);
  private static final long POLL_MILLIS = 20;

  private final CallTables tables;
  private final CallRecordsClient client;
  private final SuccessorDirectory successors;
  private final RecordHolderSelector keepers;
  private volatile String successor = "";

  WitnessHandover(
      CallTables tables,
      CallRecordsClient client,
      SuccessorDirectory successors,
      RecordHolderSelector keepers) {
    this.tables = tables;
    this.client = client;
    this.successors = successors;
    this.keepers = keepers;
  }

  /** Hands over; completes when done or when no daemon takes the records. */
  CompletableFuture<Void> run(Duration bound) {
    tables.witness().seal();
    CompletableFuture<Void> settled = new CompletableFuture<>();
    awaitOutcomes(settled);
    return settled
        .completeOnTimeout(null, bound.toMillis() / 4, TimeUnit.MILLISECONDS)
        .thenCompose(
            done -> {
              List<SealedSet> sets = new ArrayList<>(tables.archive().sets());
              sets.add(tables.witness().snapshot());
              return give(sets, keepers.candidates(Set.of()), 0, bound);
            });
  }

  private void awaitOutcomes(CompletableFuture<Void> settled) {
    if (settled.isDone()) {
      return;
    }
    if (tables.witness().pendingCount() == 0) {
      settled.complete(null);
      return;
    }
    CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> awaitOutcomes(settled));
  }

  private CompletableFuture<Void> give(
      List<SealedSet> sets, List<Instance> candidates, int index, Duration bound) {
    if (index == candidates.size()) {
      logger.atWarn().addKeyValue("sets", sets.size()).log("no daemon took over the records");
      return CompletableFuture.completedFuture(null);
    }
    Instance next = candidates.get(index);
    List<CompletableFuture<Boolean>> replies = new ArrayList<>();
    for (SealedSet set : sets) {
      replies.add(client.handOver(next, set, bound).exceptionally(failure -> false));
    }
    return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .thenCompose(
            done -> {
              List<SealedSet> left = new ArrayList<>();
              for (int i = 0; i < sets.size(); i++) {
                if (replies.get(i).join()) {
                  taken(sets.get(i), next.id());
                } else {
                  left.add(sets.get(i));
                }
              }
              return left.isEmpty()
                  ? CompletableFuture.completedFuture(null)
                  : give(left, candidates, index + 1, bound);
            });
  }

  private void taken(SealedSet set, String by) {
    successors.publish(set.witness(), by);
    if (!set.witness().equals(tables.self())) {
      return;
    }
    successor = by;
    Set<SealedRecord> before = new HashSet<>(set.records());
    for (SealedRecord record : tables.witness().snapshot().records()) {
      if (!before.contains(record) && record.outcome().state() != CallState.UNKNOWN) {
        client.report(by, record.call(), record.outcome());
      }
    }
  }

  /** Passes on an outcome that an owner reported after the hand-over. */
  void forwardOutcome(CallDescriptor draft, CallOutcome outcome) {
    String to = successor;
    if (!to.isEmpty()) {
      client.report(to, draft, outcome);
    }
  }
}
