package org.heatherspread.relay.call;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.limit.EndpointLimit;
import org.heatherspread.core.limit.EndpointLimitTable;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the limits that endpoints name in their responses: records them, and admits each request
 * to a limited endpoint by the daemon that owns the limit.
 *
 * <p>Invariant: an endpoint that has refused admission is closed until its limit may admit again,
 * so that requests do not ask for it in vain. Confined to one event loop.
 */
public final class EndpointLimits {
  private static final Logger log = LoggerFactory.getLogger(EndpointLimits.class);

  private static final double MILLIS_PER_SECOND = 1_000;

  private final EndpointLimitTable table;
  private final LimitAdmission admission;
  private Runnable changeListener = () -> {};

  private EndpointLimits(EndpointLimitTable table, LimitAdmission admission) {
    this.table = table;
    this.admission = admission;
  }

  /** Creates an instance over a table of limits and an admission control that is not shared. */
  public static EndpointLimits create(EndpointLimitTable table, LimitAdmission admission) {
    return new EndpointLimits(table, admission);
  }

  /** Sets a listener to changes that this daemon observed in responses. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Records the head of a response.
   *
   * @param header value of the header that names the limit, null if it is absent
   * @param sentMillis time at which the request was sent, on the monotonic clock
   */
  void recordResponse(TrackedEndpoint endpoint, String header, long sentMillis) {
    OptionalDouble rate = header == null ? OptionalDouble.empty() : parse(endpoint, header);
    if (header != null && rate.isEmpty()) {
      return;
    }
    long startedAtMillis = endpoint.registration().startedAtMillis();
    if (table.recordResponse(endpoint.id(), startedAtMillis, rate, sentMillis)) {
      logChange(endpoint.id(), rate.orElse(LimitObservation.NONE), "response");
      changeListener.run();
    }
  }

  private static OptionalDouble parse(TrackedEndpoint endpoint, String header) {
    try {
      double rate = Double.parseDouble(header.trim());
      if (rate >= 0 && Double.isFinite(rate)) {
        return OptionalDouble.of(rate);
      }
    } catch (NumberFormatException e) {
      // Logged below, like a number that is no rate.
    }
    log.atWarn()
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("value", header)
        .log("endpoint limit not readable");
    return OptionalDouble.empty();
  }

  private static void logChange(String endpoint, double ratePerSecond, String source) {
    log.atInfo()
        .addKeyValue("endpoint", endpoint)
        .addKeyValue("per_second", ratePerSecond)
        .addKeyValue("source", source)
        .log("endpoint limit changed");
  }

  /**
   * Merges the observations of another daemon.
   *
   * @param delayMillis time for which they were under way
   */
  public void merge(String daemon, Collection<LimitObservation> observations, long delayMillis) {
    List<String> changed = table.merge(observations, delayMillis);
    for (LimitObservation observation : observations) {
      if (changed.contains(observation.endpoint())) {
        logChange(observation.endpoint(), observation.ratePerSecond(), daemon);
      }
    }
  }

  /** Returns what this daemon observed recently in responses. */
  public List<LimitObservation> ownObservations() {
    return table.ownObservations();
  }

  /** Returns whether requests to an endpoint need admission. */
  boolean isLimited(TrackedEndpoint endpoint) {
    return limit(endpoint).isPresent();
  }

  private Optional<EndpointLimit> limit(TrackedEndpoint endpoint) {
    return table.limit(endpoint.id(), endpoint.registration().startedAtMillis());
  }

  /** Returns the ids of the endpoints whose limits admit nothing now. */
  Set<String> closedEndpoints() {
    return table.closedEndpoints();
  }

  /** Returns the time until an endpoint may admit a request again, in seconds. */
  double closedSeconds(TrackedEndpoint endpoint) {
    return table.closedMillis(endpoint.id()) / MILLIS_PER_SECOND;
  }

  /**
   * Requests the admission of one request to an endpoint.
   *
   * @return whether the request may be sent; never fails
   */
  CompletableFuture<Boolean> admit(TrackedEndpoint endpoint) {
    Optional<EndpointLimit> limit = limit(endpoint);
    if (limit.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    return admission
        .admit(limit.get(), LimitRequest.of(1))
        .thenApply(
            decision -> {
              decision
                  .waitSeconds()
                  .ifPresent(
                      seconds -> table.close(limit.get(), (long) (seconds * MILLIS_PER_SECOND)));
              return decision.waitSeconds().isEmpty();
            });
  }

  /**
   * Decides on a request of another daemon, as the owner of the limit.
   *
   * @param limit limit as known to the other daemon
   * @param unreported number of requests that the other daemon has admitted without this one
   */
  public LimitOwnerClient.Decision decideAsOwner(
      EndpointLimit limit, double amount, double unreported) {
    if (table.addIfUnknown(limit)) {
      logChange(limit.endpoint(), limit.ratePerSecond(), "request for admission");
    }
    Optional<EndpointLimit> known = table.limit(limit.endpoint(), limit.startedAtMillis());
    return known.isEmpty()
        ? LimitOwnerClient.Decision.decided(OptionalDouble.empty())
        : admission.decideAsOwner(known.get(), LimitRequest.of(amount), unreported);
  }

  /**
   * Releases a limit to its new owner.
   *
   * @return the daemon that holds the limit instead of this one; empty if this daemon has released
   *     it or knows of no other holder
   */
  public Optional<String> release(String limit, String newOwner) {
    return admission.release(limit, newOwner);
  }

  /**
   * Sets the daemons that may own limits.
   *
   * @param knownEndpoints ids of the registered endpoints
   */
  public void updateDaemons(
      Collection<String> names,
      Collection<String> admitting,
      long leaseMillis,
      Set<String> knownEndpoints) {
    table.removeExpired(knownEndpoints);
    admission.updateDaemons(names, admitting, leaseMillis, table.limits());
  }
}
