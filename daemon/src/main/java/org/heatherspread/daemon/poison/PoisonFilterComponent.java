package org.heatherspread.daemon.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.poison.Evidence;
import org.heatherspread.core.poison.Fingerprints;
import org.heatherspread.core.poison.PoisonDetector;
import org.heatherspread.core.poison.PoisonStatus;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.routing.EndpointFailure;
import org.heatherspread.daemon.routing.EndpointSelector;
import org.heatherspread.daemon.routing.Selection;
import org.heatherspread.daemon.routing.SelectionRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects requests that crash the endpoints that run them, and refuses them at every daemon.
 *
 * <p>{@link #wrap} adds the filter to the selector of the chat path; a path without a prompt calls
 * {@link #select} with its own fingerprint. The outcome of each attempt is taken from the calls to
 * its {@link Selection}. An attempt that ends with {@code BROKEN} makes all requests running on the
 * endpoint suspects until a probe distinguishes a crash from a reclaim or a network partition,
 * which are no evidence: an endpoint has crashed if its host refuses a new connection and the
 * endpoint was not under notice. Evidence, poisoned requests and endpoints reserved for suspects
 * are disseminated to all daemons as soft state.
 *
 * <p>Safe for use by any thread.
 */
public final class PoisonFilterComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(PoisonFilterComponent.class);
  private static final String EVIDENCE_TOPIC = "poison";
  private static final String RESERVATION_TOPIC = "poison.alone";
  private static final byte[] RESERVED = {1};
  private static final byte[] RELEASED = {0};

  private final DaemonContext context;
  private final PoisonSettings settings;
  private final PoisonDetector detector;
  private final Map<String, CompletableFuture<Void>> crashChecks = new ConcurrentHashMap<>();

  private PoisonFilterComponent(DaemonContext context, PoisonSettings settings) {
    this.context = context;
    this.settings = settings;
    this.detector = PoisonDetector.create(settings.policy(), context.wallClock());
  }

  /** Creates a filter; it receives evidence of other daemons once started. */
  public static PoisonFilterComponent create(DaemonContext context, PoisonSettings settings) {
    return new PoisonFilterComponent(context, settings);
  }

  @Override
  public void start() {
    context.dissemination().subscribe(EVIDENCE_TOPIC, this::onEvidence);
    context.dissemination().subscribe(RESERVATION_TOPIC, this::onReservation);
    context.dissemination().entries(EVIDENCE_TOPIC).forEach(this::onEvidence);
  }

  /** Returns a selector that filters poison requests, identified by service, adapter and prompt. */
  public EndpointSelector wrap(EndpointSelector selector) {
    return request -> {
      String fingerprint = fingerprint(request);
      if (detector.isDecisionPending(fingerprint)) {
        throw ServingException.of(
                ErrorKind.NO_ENDPOINT,
                "an endpoint that ran the request is being checked for a crash")
            .withRetryAfter(settings.probeTimeout());
      }
      return select(fingerprint, selector, request);
    };
  }

  private static String fingerprint(SelectionRequest request) {
    return Fingerprints.of(request.service() + ":" + request.adapter(), request.prompt());
  }

  /**
   * Refuses a request if it is poisoned.
   *
   * @throws ServingException of kind {@code POISONED}
   */
  public void rejectIfPoisoned(String fingerprint) {
    if (detector.status(fingerprint) == PoisonStatus.POISONED) {
      context.meters().counter("heatherspread.poison.refused").increment();
      throw ServingException.of(
          ErrorKind.POISONED, "the request crashed endpoints and is no longer accepted");
    }
  }

  /**
   * Selects an endpoint for a request. A suspect gets an endpoint on which this daemon runs nothing
   * else; other requests avoid the endpoints of suspects while there are others.
   *
   * @throws ServingException of kind {@code POISONED}, or as the selector throws
   */
  public Selection select(String fingerprint, EndpointSelector selector, SelectionRequest request) {
    rejectIfPoisoned(fingerprint);
    boolean suspect = detector.status(fingerprint) == PoisonStatus.SUSPECT;
    Selection selection = selectAvoidingSuspects(fingerprint, selector, request, suspect);
    return new MonitoredSelection(fingerprint, selection, suspect);
  }

  /**
   * Selects an endpoint off the avoided ones if possible. Otherwise a suspect may share one with
   * requests that are not suspects, never with another suspect, and other requests may share one
   * with a suspect.
   */
  private Selection selectAvoidingSuspects(
      String fingerprint, EndpointSelector selector, SelectionRequest request, boolean suspect) {
    Set<String> avoided = detector.endpointsToAvoid(fingerprint);
    try {
      return selector.select(withExcluded(request, avoided));
    } catch (ServingException e) {
      if (avoided.isEmpty()) {
        throw e;
      }
    }
    return selector.select(
        suspect ? withExcluded(request, detector.endpointsWithSuspects(fingerprint)) : request);
  }

  private static SelectionRequest withExcluded(SelectionRequest request, Set<String> avoided) {
    if (avoided.isEmpty()) {
      return request;
    }
    Set<String> excluded = new HashSet<>(request.excluded());
    excluded.addAll(avoided);
    return new SelectionRequest(
        request.account(),
        request.service(),
        request.version(),
        request.adapter(),
        request.prompt(),
        request.maxTokens(),
        request.priority(),
        request.preferredDomain(),
        excluded,
        request.remaining());
  }

  /** Reports the outcome of an attempt to the detector and to the wrapped selector. */
  private final class MonitoredSelection implements Selection {
    private final String fingerprint;
    private final Selection selection;
    private final EndpointIncarnation incarnation;
    private final boolean exclusive;

    MonitoredSelection(String fingerprint, Selection selection, boolean exclusive) {
      this.fingerprint = fingerprint;
      this.selection = selection;
      this.exclusive = exclusive;
      this.incarnation =
          new EndpointIncarnation(selection.endpoint().id(), selection.endpoint().incarnation());
      detector.attemptDispatched(fingerprint, incarnation);
      publishReservation(RESERVED);
    }

    private void publishReservation(byte[] value) {
      if (exclusive) {
        context
            .dissemination()
            .publish(RESERVATION_TOPIC, incarnation.id(), value, settings.policy().retention());
      }
    }

    @Override
    public Instance endpoint() {
      return selection.endpoint();
    }

    @Override
    public void recordStart() {
      selection.recordStart();
    }

    @Override
    public void recordFirstToken(long cachedTokens) {
      selection.recordFirstToken(cachedTokens);
    }

    @Override
    public void recordCompletion() {
      selection.recordCompletion();
      detector
          .attemptCompleted(fingerprint, incarnation)
          .ifPresent(cleared -> publishEvidence(List.of(cleared)));
      publishReservation(RELEASED);
    }

    @Override
    public void recordFailure(EndpointFailure reason) {
      selection.recordFailure(reason);
      if (reason == EndpointFailure.BROKEN) {
        detector.connectionLost(fingerprint, incarnation);
        CompletableFuture<Void> crashCheck = checkForCrash(selection.endpoint(), incarnation);
        crashChecks.put(fingerprint, crashCheck);
        crashCheck.whenComplete((done, failure) -> crashChecks.remove(fingerprint, crashCheck));
      } else {
        detector.attemptEnded(fingerprint, incarnation);
      }
      publishReservation(RELEASED);
    }
  }

  /**
   * Completes when the crash check of the endpoint that a request was lost on has ended; at once if
   * none is in progress.
   */
  public CompletableFuture<Void> awaitCrashCheck(String fingerprint) {
    return crashChecks.getOrDefault(fingerprint, CompletableFuture.completedFuture(null));
  }

  private CompletableFuture<Void> checkForCrash(
      Instance endpoint, EndpointIncarnation incarnation) {
    if (isLeavingOrGone(endpoint)) {
      detector.endpointNotCrashed(incarnation);
      return CompletableFuture.completedFuture(null);
    }
    return ConnectionProbe.isRefused(endpoint, settings.probeTimeout())
        .thenAccept(
            refused -> {
              if (refused && !isLeavingOrGone(endpoint)) {
                onCrash(incarnation);
              } else {
                detector.endpointNotCrashed(incarnation);
              }
            });
  }

  private boolean isLeavingOrGone(Instance endpoint) {
    return context
        .membership()
        .get()
        .member(endpoint.id())
        .map(Member::health)
        .map(
            health ->
                switch (health) {
                  case LEAVING, DEAD -> true;
                  case ALIVE, SUSPECT -> false;
                })
        .orElse(true);
  }

  private void onCrash(EndpointIncarnation incarnation) {
    List<Evidence> evidence = detector.endpointCrashed(incarnation);
    context.meters().counter("heatherspread.poison.crashes").increment();
    logger
        .atWarn()
        .addKeyValue("endpoint", incarnation.id())
        .addKeyValue("requests", evidence.size())
        .log("endpoint crashed while running requests");
    publishEvidence(evidence);
  }

  private void publishEvidence(List<Evidence> evidence) {
    for (Evidence each : evidence) {
      if (each.poisoned()) {
        logger.atWarn().addKeyValue("fingerprint", each.fingerprint()).log("request is poisoned");
        context.meters().counter("heatherspread.poison.verdicts").increment();
      }
      context
          .dissemination()
          .publish(
              EVIDENCE_TOPIC,
              each.fingerprint(),
              EvidenceCodec.encode(each),
              settings.policy().retention());
    }
  }

  private void onEvidence(SharedEntry entry) {
    if (!entry.origin().equals(context.self().id())) {
      EvidenceCodec.decode(entry.value())
          .ifPresent(evidence -> publishEvidence(detector.mergeEvidence(evidence)));
    }
  }

  private void onReservation(SharedEntry entry) {
    if (!entry.origin().equals(context.self().id())) {
      detector.setReservedElsewhere(entry.key(), entry.value().length > 0 && entry.value()[0] == 1);
    }
  }
}
