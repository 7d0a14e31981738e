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
 * Stops requests that crash the endpoints that run them, at all daemons, by {@link PoisonLedger}. A
 * broken connection is a crash if the endpoint then refuses connections, and none if it accepts
 * one. Confined to one thread.
 */
public final class PoisonRequestFilter {
  private static final Logger log = LoggerFactory.getLogger(PoisonRequestFilter.class);

  private final PoisonLedger detector;
  private final Set<String> localFingerprints = new HashSet<>();
  private boolean hasEvidence;

  private PoisonRequestFilter(PoisonLedger detector) {
    this.detector = detector;
  }

  /** Creates a guard that knows no crashes. */
  public static PoisonRequestFilter create(PoisonLimits limits, InstantSource clock) {
    return new PoisonRequestFilter(PoisonLedger.create(limits, clock));
  }

  /** Tells whether a request must not run any more. */
  boolean isPoisoned(CallContext facts) {
    return hasEvidence && detector.standing(fingerprint(facts)) == Standing.POISONED;
  }

  /** Notes that a connection broke while the endpoint had the request. */
  void connectionLost(TrackedEndpoint endpoint, CallContext facts) {
    detector.lost(fingerprint(facts), incarnation(endpoint));
  }

  /** Notes that the endpoint accepted a connection. */
  void connectionAccepted(TrackedEndpoint endpoint) {
    detector.notCrashed(incarnation(endpoint));
  }

  /** Notes that the endpoint refused a connection, or that its life has ended. */
  public void endpointCrashed(TrackedEndpoint endpoint) {
    for (Evidence evidence : detector.crashed(incarnation(endpoint))) {
      localFingerprints.add(evidence.fingerprint());
      logEvidence(evidence);
    }
  }

  /** Takes in what another daemon found. */
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
   * Returns what this daemon itself found and has not forgotten, for its report. What others found
   * they report themselves; told again by everybody, it would never be forgotten.
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

  private static String fingerprint(CallContext facts) {
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(facts.request().target().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(facts.account().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(facts.request().body());
    return Fingerprints.of(facts.service(), request.toByteArray());
  }
}
