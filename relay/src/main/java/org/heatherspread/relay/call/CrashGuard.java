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
 * Stops requests that crash the endpoints that run them, at all daemons, by {@link PoisonDetector}.
 * A broken connection is a crash if the endpoint then refuses connections, and none if it accepts
 * one. Confined to one thread.
 */
public final class CrashGuard {
  private static final Logger log = LoggerFactory.getLogger(CrashGuard.class);

  private final PoisonDetector ledger;
  private final Set<String> found = new HashSet<>();
  private boolean suspects;

  private CrashGuard(PoisonDetector ledger) {
    this.ledger = ledger;
  }

  /** Creates a guard that knows no crashes. */
  public static CrashGuard create(PoisonPolicy limits, InstantSource clock) {
    return new CrashGuard(PoisonDetector.create(limits, clock));
  }

  /** Tells whether a request must not run any more. */
  boolean refuses(CallFacts facts) {
    return suspects && ledger.status(fingerprint(facts)) == PoisonStatus.POISONED;
  }

  /** Notes that a connection broke while the endpoint had the request. */
  void lost(TrackedEndpoint endpoint, CallFacts facts) {
    ledger.connectionLost(fingerprint(facts), life(endpoint));
  }

  /** Notes that the endpoint accepted a connection. */
  void accepted(TrackedEndpoint endpoint) {
    ledger.endpointNotCrashed(life(endpoint));
  }

  /** Notes that the endpoint refused a connection, or that its life has ended. */
  public void crashed(TrackedEndpoint endpoint) {
    for (Evidence evidence : ledger.endpointCrashed(life(endpoint))) {
      found.add(evidence.fingerprint());
      note(evidence);
    }
  }

  /** Takes in what another daemon found. */
  public void heard(List<Evidence> evidence) {
    for (Evidence theirs : evidence) {
      Optional<Evidence> before = ledger.findEvidence(theirs.fingerprint());
      List<Evidence> changed = ledger.mergeEvidence(theirs);
      Optional<Evidence> after = ledger.findEvidence(theirs.fingerprint());
      changed.forEach(this::note);
      if (!changed.contains(theirs) && !after.equals(before)) {
        after.ifPresent(this::note);
      }
    }
  }

  /**
   * Returns what this daemon itself found and has not forgotten, for its report. What others found
   * they report themselves; told again by everybody, it would never be forgotten.
   */
  public List<Evidence> evidence() {
    List<Evidence> own = new ArrayList<>();
    found.removeIf(fingerprint -> ledger.findEvidence(fingerprint).isEmpty());
    found.forEach(fingerprint -> ledger.findEvidence(fingerprint).ifPresent(own::add));
    return own;
  }

  private void note(Evidence evidence) {
    suspects = true;
    log.atInfo()
        .addKeyValue("fingerprint", evidence.fingerprint())
        .addKeyValue("crashes", evidence.crashes().size())
        .addKeyValue("refused", evidence.poisoned())
        .log("request suspected of crashes");
  }

  private static EndpointIncarnation life(TrackedEndpoint endpoint) {
    return new EndpointIncarnation(endpoint.id(), endpoint.registration().startedAtMillis());
  }

  private static String fingerprint(CallFacts facts) {
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(facts.request().target().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(facts.account().getBytes(StandardCharsets.UTF_8));
    request.write(0);
    request.writeBytes(facts.request().body());
    return Fingerprints.of(facts.service(), request.toByteArray());
  }
}
