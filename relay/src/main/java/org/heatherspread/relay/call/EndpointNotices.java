package org.heatherspread.relay.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SortedSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.heatherspread.core.admission.BrittleEndpoints;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What endpoints say of themselves in their responses: that they leave, that they want to rest, and
 * that they fall over if they have to reject too many requests. Confined to one event loop.
 */
public final class EndpointNotices {
  private static final Logger log = LoggerFactory.getLogger(EndpointNotices.class);

  private static final int SERVICE_UNAVAILABLE = 503;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Longest rest, beyond which a value is taken as this one. */
  private static final double MAX_REST_SECONDS = 600;

  private final RelayHeaderNames headerNames;
  private final MonotonicClock clock;
  private final BrittleEndpoints brittleEndpoints;
  private Consumer<EndpointIncarnation> leavingListener = endpoint -> {};

  private EndpointNotices(
      RelayHeaderNames headerNames, MonotonicClock clock, RandomGenerator random) {
    this.headerNames = headerNames;
    this.clock = clock;
    this.brittleEndpoints = BrittleEndpoints.create(random);
  }

  /** Creates an instance without notices. */
  public static EndpointNotices create(
      RelayHeaderNames headerNames, MonotonicClock clock, RandomGenerator random) {
    return new EndpointNotices(headerNames, clock, random);
  }

  /**
   * Sets the live daemons, which share the slots of brittle endpoints.
   *
   * @param self name of this daemon
   */
  public void updateDaemons(String self, SortedSet<String> names) {
    brittleEndpoints.updateDaemons(names.headSet(self).size(), names.size());
  }

  /** Sets a listener to endpoints that leave according to responses to this daemon. */
  public void onLeaving(Consumer<EndpointIncarnation> listener) {
    leavingListener = listener;
  }

  /** Records the head of a response that belongs to a request to the endpoint. */
  void recordResponse(TrackedEndpoint endpoint, int status, HttpHeaders headers) {
    String leaving = headers.get(headerNames.endpointLeaving());
    if (leaving != null && !leaving.trim().equals("0") && endpoint.markLeaving()) {
      logLeaving(endpoint, "response");
      leavingListener.accept(incarnation(endpoint));
    }
    String brittle = headers.get(headerNames.endpointBrittle());
    if (brittle != null) {
      parse(endpoint, headerNames.endpointBrittle(), brittle)
          .ifPresent(perSecond -> recordBrittle(endpoint, perSecond));
    }
    String retryAfter = headers.get(HttpHeaderNames.RETRY_AFTER);
    if (status == SERVICE_UNAVAILABLE && retryAfter != null) {
      parse(endpoint, HttpHeaderNames.RETRY_AFTER.toString(), retryAfter)
          .ifPresent(seconds -> rest(endpoint, seconds));
    }
  }

  private static EndpointIncarnation incarnation(TrackedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.registration().startedAtMillis());
  }

  private static void logLeaving(TrackedEndpoint endpoint, String source) {
    log.atInfo()
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("source", source)
        .log("endpoint leaves");
  }

  private void recordBrittle(TrackedEndpoint endpoint, double perSecond) {
    String service = endpoint.registration().service();
    if (brittleEndpoints.recordBrittle(service, perSecond, clock.millis())) {
      log.atInfo()
          .addKeyValue("service", service)
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("rejections_per_second", perSecond)
          .log("endpoints are brittle");
    }
  }

  private void rest(TrackedEndpoint endpoint, double seconds) {
    long millis = (long) Math.ceil(Math.min(MAX_REST_SECONDS, seconds) * MILLIS_PER_SECOND);
    endpoint.rest(clock.millis(), millis);
    log.atInfo()
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("ms", millis)
        .log("endpoint rests");
  }

  /** Returns a number that is not negative; anything else is logged and ignored. */
  private static OptionalDouble parse(TrackedEndpoint endpoint, String header, String value) {
    try {
      double number = Double.parseDouble(value.trim());
      if (number >= 0) {
        return OptionalDouble.of(number);
      }
    } catch (NumberFormatException e) {
      // Logged below, like a negative number.
    }
    log.atWarn()
        .addKeyValue("endpoint", endpoint.id())
        .addKeyValue("header", header)
        .addKeyValue("value", value)
        .log("header of an endpoint not readable");
    return OptionalDouble.empty();
  }

  /** Records that another daemon learned that an endpoint leaves. */
  public boolean mergeLeaving(TrackedEndpoint endpoint, EndpointIncarnation left, String daemon) {
    if (!incarnation(endpoint).equals(left) || !endpoint.markLeaving()) {
      return false;
    }
    logLeaving(endpoint, daemon);
    return true;
  }

  /** Records that an endpoint rejected a request for want of room. */
  void recordRejection(TrackedEndpoint endpoint) {
    brittleEndpoints.recordRejection(endpoint, clock.millis());
  }

  /** Returns the ids of the endpoints that would have to reject a request of this daemon. */
  Set<String> endpointsWithoutRoom(String service, Collection<TrackedEndpoint> endpoints) {
    return brittleEndpoints.endpointsWithoutRoom(service, endpoints, clock.millis());
  }

  /** Returns the shortest time for which one of the endpoints rests, 0 if none rests. */
  double shortestRestSeconds(List<TrackedEndpoint> endpoints) {
    long now = clock.millis();
    return endpoints.stream()
            .filter(endpoint -> endpoint.isUsable(now))
            .mapToLong(endpoint -> endpoint.restMillis(now))
            .filter(millis -> millis > 0)
            .min()
            .orElse(0)
        / MILLIS_PER_SECOND;
  }
}
