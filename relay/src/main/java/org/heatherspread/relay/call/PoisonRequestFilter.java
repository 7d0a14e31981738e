package org.heatherspread.relay.call;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.poison.CrashLedger;
import org.heatherspread.core.poison.CrashPolicy;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.poison.EndpointLossTracker;
import org.heatherspread.core.poison.Suspect;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests that crash endpoints, by the evidence of all daemons in a {@link CrashLedger}. A
 * lost connection is evidence once its endpoint is found to have crashed: a probe or a request is
 * refused, or another incarnation is found in its place. Confined to one thread.
 */
public final class PoisonRequestFilter {
  private static final Logger log = LoggerFactory.getLogger(PoisonRequestFilter.class);

  /** Maximum number of suspects in a report, so that the report fits into a row of the store. */
  private static final int MAX_REPORTED_SUSPECTS = 48;

  private final CrashLedger ledger;
  private final EndpointLossTracker losses;
  private final EndpointProbe probe;
  private Runnable newEvidenceListener = () -> {};

  /** Finds out whether an endpoint still listens. */
  @FunctionalInterface
  interface EndpointProbe {
    /** Connects to an endpoint, and reports a refusal to {@link #endpointCrashed}. */
    void probe(TrackedEndpoint endpoint);
  }

  private PoisonRequestFilter(CrashLedger ledger, EndpointLossTracker losses, EndpointProbe probe) {
    this.ledger = ledger;
    this.losses = losses;
    this.probe = probe;
  }

  /** Creates a filter without evidence. */
  static PoisonRequestFilter create(CrashPolicy policy, MonotonicClock clock, EndpointProbe probe) {
    return new PoisonRequestFilter(
        CrashLedger.create(policy, clock), EndpointLossTracker.create(clock), probe);
  }

  /** Sets an action that runs when this daemon has evidence that others do not know. */
  public void onNewEvidence(Runnable listener) {
    newEvidenceListener = listener;
  }

  /** Returns the time for which a request is refused, empty if it is not. */
  Optional<Duration> refusal(CallContext context) {
    if (ledger.isEmpty()) {
      return Optional.empty();
    }
    Optional<Duration> longest = ledger.refusal(context.suspects().request());
    for (Suspect segment : context.suspects().promptSegments()) {
      Optional<Duration> refusal = ledger.refusal(segment);
      if (refusal.isPresent() && refusal.get().compareTo(longest.orElse(Duration.ZERO)) > 0) {
        longest = refusal;
      }
    }
    return longest;
  }

  /**
   * Records that the connection to an endpoint was lost during the request.
   *
   * @param answerBegun whether the answer had begun, so that the prompt is no suspect
   */
  void connectionLost(TrackedEndpoint endpoint, CallContext context, boolean answerBegun) {
    if (endpoint.registration().leaving()) {
      return;
    }
    EndpointIncarnation incarnation = incarnation(endpoint);
    Suspect request = context.suspects().request();
    List<Suspect> promptSegments = context.suspects().promptSegments();
    Set<Suspect> suspects = new HashSet<>();
    suspects.add(request);
    if (!answerBegun) {
      suspects.addAll(promptSegments);
    }
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("fingerprint", request.fingerprint())
        .addKeyValue("endpoint", incarnation.crashId())
        .addKeyValue("prompt", joinFingerprints(promptSegments))
        .addKeyValue("answer_begun", answerBegun)
        .log("endpoint may have crashed");
    EndpointLossTracker.NextStep step = losses.recordLoss(incarnation, suspects);
    if (step == EndpointLossTracker.NextStep.PROBE) {
      probe.probe(endpoint);
    } else if (step == EndpointLossTracker.NextStep.COUNT_CRASH) {
      recordCrash(suspects, losses.crashId(incarnation));
    }
  }

  /** Records that an endpoint accepted a new connection. */
  void connectionAccepted(TrackedEndpoint endpoint) {
    losses.connectionAccepted(incarnation(endpoint));
  }

  /** Returns whether it is not known yet whether an endpoint with lost connections has crashed. */
  boolean isUnresolved(TrackedEndpoint endpoint) {
    return losses.isUnresolved(incarnation(endpoint));
  }

  /**
   * Records that an endpoint responded.
   *
   * @param sentMillis time at which the request was sent
   */
  void endpointResponded(TrackedEndpoint endpoint, long sentMillis) {
    if (losses.resolveAsAlive(incarnation(endpoint), sentMillis)) {
      log.atInfo()
          .addKeyValue("endpoint", incarnation(endpoint).crashId())
          .log("endpoint has not crashed");
    }
  }

  /** Records that the endpoint refused a connection or that its incarnation ended. */
  public void endpointCrashed(TrackedEndpoint endpoint) {
    if (!endpoint.registration().leaving()) {
      EndpointIncarnation incarnation = incarnation(endpoint);
      recordCrash(losses.resolveAsCrash(incarnation), losses.crashId(incarnation));
    }
  }

  private void recordCrash(Set<Suspect> suspects, String crashId) {
    if (suspects.isEmpty()) {
      return;
    }
    for (Suspect suspect : ledger.recordCrash(suspects, crashId)) {
      logEvidence(suspect, crashId);
    }
    newEvidenceListener.run();
  }

  /** Records that the answer to a request has begun, which its prompt did not prevent. */
  void answerBegan(CallContext context) {
    boolean refuted = false;
    for (Suspect segment : context.suspects().promptSegments()) {
      refuted |= ledger.recordSuccess(segment);
    }
    if (refuted) {
      newEvidenceListener.run();
    }
  }

  /** Records that a request was answered completely. */
  void requestCompleted(CallContext context) {
    answerBegan(context);
    if (ledger.recordSuccess(context.suspects().request())) {
      newEvidenceListener.run();
    }
  }

  /**
   * Merges the evidence reported by another daemon.
   *
   * @param ageMillis age of the report
   */
  public void mergeEvidence(List<CrashEvidence> evidence, long ageMillis) {
    if (evidence.isEmpty()) {
      return;
    }
    CrashLedger.MergeResult result = ledger.merge(evidence, ageMillis);
    result.changed().forEach(suspect -> logEvidence(suspect, ""));
    if (result.refuted()) {
      newEvidenceListener.run();
    }
  }

  /** Returns the evidence for other daemons. */
  public List<CrashEvidence> evidence() {
    return ledger.isEmpty() ? List.of() : ledger.evidence(MAX_REPORTED_SUSPECTS);
  }

  /** Returns the number of suspects that are refused. */
  public int refusedCount() {
    return ledger.refusedCount();
  }

  /** Logs new evidence from a crash, empty if another daemon reported it. */
  private void logEvidence(Suspect suspect, String crash) {
    int crashes =
        ledger.findEvidence(suspect).map(found -> found.crashAgesMillis().size()).orElse(0);
    long refusedMillis = ledger.refusal(suspect).map(Duration::toMillis).orElse(0L);
    log.atInfo()
        .addKeyValue("kind", suspect.kind())
        .addKeyValue("fingerprint", suspect.fingerprint())
        .addKeyValue("endpoint", crash)
        .addKeyValue("crashes", crashes)
        .addKeyValue("refused", refusedMillis > 0)
        .addKeyValue("refused_ms", refusedMillis)
        .log("request suspected of crashes");
  }

  private static String joinFingerprints(List<Suspect> suspects) {
    return suspects.stream().map(Suspect::fingerprint).collect(Collectors.joining(","));
  }

  private static EndpointIncarnation incarnation(TrackedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.registration().startedAtMillis());
  }
}
