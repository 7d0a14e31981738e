package org.heatherspread.relay.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.poison.Evidence;
import org.heatherspread.core.poison.Fingerprints;
import org.heatherspread.core.poison.PoisonDetector;
import org.heatherspread.core.poison.PoisonPolicy;
import org.heatherspread.core.poison.PoisonStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests that repeatedly crash endpoints, by the evidence of all daemons in a {@link
 * PoisonDetector}. A lost connection counts as a crash if the endpoint then refuses connections,
 * and not if it accepts one. Confined to one thread.
 */
public final class PoisonRequestFilter {
  private static final Logger log = LoggerFactory.getLogger(PoisonRequestFilter.class);

  private final PoisonDetector detector;
  private final Set<String> localFingerprints = new HashSet<>();
  private boolean hasEvidence;

  private PoisonRequestFilter(PoisonDetector detector) {
    this.detector = detector;
  }

  /** Creates a filter without evidence. */
  public static PoisonRequestFilter create(PoisonPolicy limits, InstantSource clock) {
    return new PoisonRequestFilter(PoisonDetector.create(limits, clock));
  }

  /** Returns whether a request must be refused. */
  boolean isPoisoned(CallContext context) {
    return hasEvidence && detector.status(fingerprint(context)) == PoisonStatus.POISONED;
  }

  /** Records that the connection to an endpoint was lost during the request. */
  void connectionLost(TrackedEndpoint endpoint, CallContext context) {
    String fingerprint = fingerprint(context);
    detector.connectionLost(fingerprint, incarnation(endpoint));
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("fingerprint", fingerprint)
        .addKeyValue("endpoint", incarnation(endpoint).crashId())
        .log("endpoint may have crashed");
  }

  /** Records that the endpoint accepted a connection. */
  void connectionAccepted(TrackedEndpoint endpoint) {
    Set<String> requests = detector.endpointNotCrashed(incarnation(endpoint));
    if (!requests.isEmpty()) {
      log.atInfo()
          .addKeyValue("endpoint", incarnation(endpoint).crashId())
          .addKeyValue("requests", requests.size())
          .log("endpoint has not crashed");
    }
  }

  /** Records that the endpoint refused a connection or that its incarnation ended. */
  public void endpointCrashed(TrackedEndpoint endpoint) {
    for (Evidence evidence : detector.endpointCrashed(incarnation(endpoint))) {
      localFingerprints.add(evidence.fingerprint());
      logEvidence(evidence, incarnation(endpoint).crashId());
    }
  }

  /** Merges the evidence reported by another daemon. */
  public void mergeEvidence(List<Evidence> evidence) {
    for (Evidence reported : evidence) {
      Optional<Evidence> before = detector.findEvidence(reported.fingerprint());
      List<Evidence> changed = detector.mergeEvidence(reported);
      Optional<Evidence> after = detector.findEvidence(reported.fingerprint());
      changed.forEach(each -> logEvidence(each, ""));
      if (!changed.contains(reported) && !after.equals(before)) {
        after.ifPresent(each -> logEvidence(each, ""));
      }
    }
  }

  /**
   * Returns the unexpired evidence found by this daemon, for its report. Excludes evidence of other
   * daemons, which report it themselves: if all daemons repeated it, it would never expire.
   */
  public List<Evidence> localEvidence() {
    List<Evidence> evidence = new ArrayList<>();
    localFingerprints.removeIf(fingerprint -> detector.findEvidence(fingerprint).isEmpty());
    localFingerprints.forEach(
        fingerprint -> detector.findEvidence(fingerprint).ifPresent(evidence::add));
    return evidence;
  }

  /** Logs evidence that changed by a crash, empty if another daemon reported it. */
  private void logEvidence(Evidence evidence, String crash) {
    hasEvidence = true;
    log.atInfo()
        .addKeyValue("fingerprint", evidence.fingerprint())
        .addKeyValue("endpoint", crash)
        .addKeyValue("crashes", evidence.crashes().size())
        .addKeyValue("refused", evidence.poisoned())
        .log("request suspected of crashes");
  }

  private static EndpointIncarnation incarnation(TrackedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.registration().startedAtMillis());
  }

  private static String fingerprint(CallContext context) {
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(context.request().target().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(context.account().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(context.request().body());
    return Fingerprints.of(context.service(), request.toByteArray());
  }
}
