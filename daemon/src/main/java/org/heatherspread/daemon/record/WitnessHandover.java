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
 * Hands the records that a stopping daemon holds as witness to another daemon.
 *
 * <p>Seals the witness table, waits for outcomes that owners have not yet reported, transfers the
 * complete set to a daemon that is not leaving, and forwards outcomes that are reported afterwards.
 * Thread-safe.
 */
final class WitnessHandover {
  private static final Logger logger = LoggerFactory.getLogger(WitnessHandover.class);
  private static final long OUTCOME_POLL_MILLIS = 20;

  private final CallTables tables;
  private final CallRecordsClient client;
  private final SuccessorDirectory successors;
  private final RecordHolderSelector holderSelector;
  private volatile String successor = "";

  WitnessHandover(
      CallTables tables,
      CallRecordsClient client,
      SuccessorDirectory successors,
      RecordHolderSelector holderSelector) {
    this.tables = tables;
    this.client = client;
    this.successors = successors;
    this.holderSelector = holderSelector;
  }

  /**
   * Hands the records over. The future completes when all sets are stored, or when every candidate
   * was tried.
   *
   * @param timeout timeout of each transfer; outcomes are awaited for a quarter of it
   */
  CompletableFuture<Void> run(Duration timeout) {
    tables.witness().seal();
    CompletableFuture<Void> outcomesComplete = new CompletableFuture<>();
    awaitOutcomes(outcomesComplete);
    return outcomesComplete
        .completeOnTimeout(null, timeout.toMillis() / 4, TimeUnit.MILLISECONDS)
        .thenCompose(
            done -> {
              List<SealedSet> sets = new ArrayList<>(tables.archive().sets());
              sets.add(tables.witness().snapshot());
              return sendTo(sets, holderSelector.candidates(Set.of()), 0, timeout);
            });
  }

  private void awaitOutcomes(CompletableFuture<Void> outcomesComplete) {
    if (outcomesComplete.isDone()) {
      return;
    }
    if (tables.witness().pendingCount() == 0) {
      outcomesComplete.complete(null);
      return;
    }
    CompletableFuture.delayedExecutor(OUTCOME_POLL_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> awaitOutcomes(outcomesComplete));
  }

  private CompletableFuture<Void> sendTo(
      List<SealedSet> sets, List<Instance> candidates, int index, Duration timeout) {
    if (index == candidates.size()) {
      logger
          .atWarn()
          .addKeyValue("sets", sets.size())
          .log("no daemon accepted the handed-over records");
      return CompletableFuture.completedFuture(null);
    }
    Instance candidate = candidates.get(index);
    List<CompletableFuture<Boolean>> replies = new ArrayList<>();
    for (SealedSet set : sets) {
      replies.add(client.handOver(candidate, set, timeout).exceptionally(failure -> false));
    }
    return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .thenCompose(
            done -> {
              List<SealedSet> remaining = new ArrayList<>();
              for (int i = 0; i < sets.size(); i++) {
                if (replies.get(i).join()) {
                  onAccepted(sets.get(i), candidate.id());
                } else {
                  remaining.add(sets.get(i));
                }
              }
              return remaining.isEmpty()
                  ? CompletableFuture.completedFuture(null)
                  : sendTo(remaining, candidates, index + 1, timeout);
            });
  }

  private void onAccepted(SealedSet set, String successorId) {
    successors.publish(set.witness(), successorId);
    if (!set.witness().equals(tables.self())) {
      return;
    }
    successor = successorId;
    Set<SealedRecord> handedOver = new HashSet<>(set.records());
    for (SealedRecord record : tables.witness().snapshot().records()) {
      if (!handedOver.contains(record) && record.outcome().state() != CallState.UNKNOWN) {
        client.report(successorId, record.call(), record.outcome());
      }
    }
  }

  /** Forwards an outcome that an owner reported after the handover to the successor. */
  void forwardOutcome(CallDescriptor call, CallOutcome outcome) {
    String currentSuccessor = successor;
    if (!currentSuccessor.isEmpty()) {
      client.report(currentSuccessor, call, outcome);
    }
  }
}
