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
import org.heatherspread.core.poison.EndpointLife;
import org.heatherspread.core.poison.Evidence;
import org.heatherspread.core.poison.Fingerprints;
import org.heatherspread.core.poison.PoisonLedger;
import org.heatherspread.core.poison.PoisonLimits;
import org.heatherspread.core.poison.Standing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses requests that repeatedly crash endpoints, by the evidence of all daemons in a {@link
 * PoisonLedger}. A lost connection counts as a crash if the endpoint then refuses connections, and
 * not if it accepts one. Confined to one thread.
 */
public final class PoisonRequestFilter {
  private static final Logger log = LoggerFactory.getLogger(PoisonRequestFilter.class);

  private final PoisonLedger detector;
  private final Set<String> localFingerprints = new HashSet<>();
  private boolean hasEvidence;

  private PoisonRequestFilter(PoisonLedger detector) {
    this.detector = detector;
  }

  /** Creates a filter without evidence. */
  public static PoisonRequestFilter create(PoisonLimits limits, InstantSource clock) {
    return new PoisonRequestFilter(PoisonLedger.create(limits, clock));
  }

  /** Returns whether a request must be refused. */
  boolean isPoisoned(CallContext context) {
    return hasEvidence && detector.standing(fingerprint(context)) == Standing.POISONED;
  }

  /** Records that the connection to an endpoint was lost during the request. */
  void connectionLost(TrackedEndpoint endpoint, CallContext context) {
    detector.lost(fingerprint(context), incarnation(endpoint));
  }

  /** Records that the endpoint accepted a connection. */
  void connectionAccepted(TrackedEndpoint endpoint) {
    detector.notCrashed(incarnation(endpoint));
  }

  /** Records that the endpoint refused a connection or that its incarnation ended. */
  public void endpointCrashed(TrackedEndpoint endpoint) {
    for (Evidence evidence : detector.crashed(incarnation(endpoint))) {
      localFingerprints.add(evidence.fingerprint());
      logEvidence(evidence);
    }
  }

  /** Merges the evidence reported by another daemon. */
  public void mergeEvidence(List<Evidence> evidence) {
    for (Evidence reported : evidence) {
      Optional<Evidence> before = detector.find(reported.fingerprint());
      List<Evidence> changed = detector.heard(reported);
      Optional<Evidence> after = detector.find(reported.fingerprint());
      changed.forEach(this::logEvidence);
      if (!changed.contains(reported) && !after.equals(before)) {
        after.ifPresent(this::logEvidence);
      }
    }
  }

  /**
   * Returns the unexpired evidence found by this daemon, for its report. Excludes evidence of other
   * daemons, which report it themselves: if all daemons repeated it, it would never expire.
   */
  public List<Evidence> localEvidence() {
    List<Evidence> evidence = new ArrayList<>();
    localFingerprints.removeIf(fingerprint -> detector.find(fingerprint).isEmpty());
    localFingerprints.forEach(fingerprint -> detector.find(fingerprint).ifPresent(evidence::add));
    return evidence;
  }

  private void logEvidence(Evidence evidence) {
    hasEvidence = true;
    log.atInfo()
        .addKeyValue("fingerprint", evidence.fingerprint())
        .addKeyValue("crashes", evidence.crashes().size())
        .addKeyValue("refused", evidence.poisoned())
        .log("request suspected of crashes");
  }

  private static EndpointLife incarnation(TrackedEndpoint endpoint) {
    return new EndpointLife(endpoint.id(), endpoint.registration().bornMillis());
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
