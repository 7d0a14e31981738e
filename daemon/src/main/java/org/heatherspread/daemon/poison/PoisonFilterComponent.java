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
import org.heatherspread.daemon.routing.RouteRequest;
import org.heatherspread.daemon.routing.Selection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops requests that crash the endpoints that run them, at every daemon.
 *
 * <p>Use: {@link #wrap} wraps the selector of the chat path, which needs nothing else; a path
 * without a prompt calls {@link #select} with a fingerprint of its own. Each selection reports how
 * its attempt ended, as selections do anyway. {@code BROKEN} makes the endpoint's batch suspects
 * for the moment it takes to tell a crash (the host refuses a new connection, and the endpoint was
 * not under notice) from a reclaim or a cut network, which are no evidence. Evidence, verdicts and
 * the endpoints on which suspects run alone are spread to all daemons as soft state.
 *
 * <p>Safe for use by any thread.
 */
public final class PoisonFilterComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(PoisonFilterComponent.class);
  private static final String EVIDENCE_TOPIC = "poison";
  private static final String ALONE_TOPIC = "poison.alone";
  private static final byte[] RESERVED = {1};
  private static final byte[] FREE = {0};

  private final DaemonContext context;
  private final PoisonSettings settings;
  private final PoisonDetector ledger;
  private final Map<String, CompletableFuture<Void>> examinations = new ConcurrentHashMap<>();

  private PoisonFilterComponent(DaemonContext context, PoisonSettings settings) {
    this.context = context;
    this.settings = settings;
    this.ledger = PoisonDetector.create(settings.policy(), context.wallClock());
  }

  /** Creates a guard; it hears of other daemons once started. */
  public static PoisonFilterComponent create(DaemonContext context, PoisonSettings settings) {
    return new PoisonFilterComponent(context, settings);
  }

  @Override
  public void start() {
    context.dissemination().subscribe(EVIDENCE_TOPIC, this::heard);
    context.dissemination().subscribe(ALONE_TOPIC, this::heardReservation);
    context.dissemination().entries(EVIDENCE_TOPIC).forEach(this::heard);
  }

  // ---- Requests ----

  /** Wraps a selector; requests are known again by service, adapter and prompt. */
  public EndpointSelector wrap(EndpointSelector selector) {
    return request -> {
      String fingerprint = fingerprint(request);
      if (ledger.isDecisionPending(fingerprint)) {
        throw ServingException.of(
                ErrorKind.NO_ENDPOINT, "an endpoint that ran the request is being examined")
            .withRetryAfter(settings.probeTimeout());
      }
      return select(fingerprint, selector, request);
    };
  }

  private static String fingerprint(RouteRequest request) {
    return Fingerprints.of(request.service() + ":" + request.adapter(), request.prompt());
  }

  /**
   * Refuses a request that is poisoned.
   *
   * @throws ServingException of kind {@code POISONED}
   */
  public void rejectIfPoisoned(String fingerprint) {
    if (ledger.status(fingerprint) == PoisonStatus.POISONED) {
      context.meters().counter("heatherspread.poison.refused").increment();
      throw ServingException.of(
          ErrorKind.POISONED, "the request crashed endpoints; it is not run any more");
    }
  }

  /**
   * Chooses an endpoint that the request may run on: a suspect gets one where nothing else of this
   * daemon runs, other requests keep away from those while there are others.
   *
   * @throws ServingException of kind {@code POISONED}, or as the selector throws
   */
  public Selection select(String fingerprint, EndpointSelector selector, RouteRequest request) {
    rejectIfPoisoned(fingerprint);
    boolean suspect = ledger.status(fingerprint) == PoisonStatus.SUSPECT;
    Selection chosen = choose(fingerprint, selector, request, suspect);
    return new Guarded(fingerprint, chosen, suspect);
  }

  /** A suspect never shares with another one; others would rather share than not run. */
  private Selection choose(
      String fingerprint, EndpointSelector selector, RouteRequest request, boolean suspect) {
    Set<String> avoided = ledger.endpointsToAvoid(fingerprint);
    try {
      return selector.select(excluding(request, avoided));
    } catch (ServingException e) {
      if (avoided.isEmpty()) {
        throw e;
      }
    }
    return selector.select(
        suspect ? excluding(request, ledger.endpointsWithSuspects(fingerprint)) : request);
  }

  private static RouteRequest excluding(RouteRequest request, Set<String> avoided) {
    if (avoided.isEmpty()) {
      return request;
    }
    Set<String> excluded = new HashSet<>(request.excluded());
    excluded.addAll(avoided);
    return new RouteRequest(
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

  /** One attempt, reported to the ledger and to the selector. */
  private final class Guarded implements Selection {
    private final String fingerprint;
    private final Selection inner;
    private final EndpointIncarnation life;
    private final boolean alone;

    Guarded(String fingerprint, Selection inner, boolean alone) {
      this.fingerprint = fingerprint;
      this.inner = inner;
      this.alone = alone;
      this.life = new EndpointIncarnation(inner.endpoint().id(), inner.endpoint().incarnation());
      ledger.attemptDispatched(fingerprint, life);
      reserve(RESERVED);
    }

    private void reserve(byte[] value) {
      if (alone) {
        context
            .dissemination()
            .publish(ALONE_TOPIC, life.id(), value, settings.policy().retention());
      }
    }

    @Override
    public Instance endpoint() {
      return inner.endpoint();
    }

    @Override
    public void started() {
      inner.started();
    }

    @Override
    public void firstToken(long cachedTokens) {
      inner.firstToken(cachedTokens);
    }

    @Override
    public void finished() {
      inner.finished();
      ledger.attemptCompleted(fingerprint, life).ifPresent(cleared -> spread(List.of(cleared)));
      reserve(FREE);
    }

    @Override
    public void failed(EndpointFailure reason) {
      inner.failed(reason);
      if (reason == EndpointFailure.BROKEN) {
        ledger.connectionLost(fingerprint, life);
        CompletableFuture<Void> examined = confirm(inner.endpoint(), life);
        examinations.put(fingerprint, examined);
        examined.whenComplete((done, failure) -> examinations.remove(fingerprint, examined));
      } else {
        ledger.attemptEnded(fingerprint, life);
      }
      reserve(FREE);
    }
  }

  // ---- Crashes ----

  /** Completes when it is known whether the endpoints that a request was lost on have crashed. */
  public CompletableFuture<Void> awaitCrashCheck(String fingerprint) {
    return examinations.getOrDefault(fingerprint, CompletableFuture.completedFuture(null));
  }

  private CompletableFuture<Void> confirm(Instance endpoint, EndpointIncarnation life) {
    if (underNotice(endpoint)) {
      ledger.endpointNotCrashed(life);
      return CompletableFuture.completedFuture(null);
    }
    return ConnectionProbe.isRefused(endpoint, settings.probeTimeout())
        .thenAccept(
            refused -> {
              if (refused && !underNotice(endpoint)) {
                crashed(life);
              } else {
                ledger.endpointNotCrashed(life);
              }
            });
  }

  private boolean underNotice(Instance endpoint) {
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

  private void crashed(EndpointIncarnation life) {
    List<Evidence> evidence = ledger.endpointCrashed(life);
    context.meters().counter("heatherspread.poison.crashes").increment();
    logger
        .atWarn()
        .addKeyValue("endpoint", life.id())
        .addKeyValue("requests", evidence.size())
        .log("endpoint crashed while it ran requests");
    spread(evidence);
  }

  private void spread(List<Evidence> evidence) {
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

  private void heard(SharedEntry entry) {
    if (!entry.origin().equals(context.self().id())) {
      EvidenceCodec.decode(entry.value()).ifPresent(theirs -> spread(ledger.mergeEvidence(theirs)));
    }
  }

  private void heardReservation(SharedEntry entry) {
    if (!entry.origin().equals(context.self().id())) {
      ledger.setReservedElsewhere(entry.key(), entry.value().length > 0 && entry.value()[0] == 1);
    }
  }
}
