package org.heatherspread.daemon.permit;

import io.micrometer.core.instrument.MeterRegistry;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.permit.ExecutionPermit;
import org.heatherspread.core.permit.PermitIssuer;
import org.heatherspread.core.permit.PermitVerification;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.daemon.DaemonContext;

/**
 * Gives permits to callers, checks those that they bring, and makes ids for calls without one.
 *
 * <p>Immutable; safe for use by any thread.
 */
public final class PermitDesk {
  private final DaemonContext context;
  private final PermitSettings settings;
  private final PermitIssuer issuer;
  private final MeterRegistry meters;

  private PermitDesk(DaemonContext context, PermitSettings settings, RandomGenerator random) {
    this.context = context;
    this.settings = settings;
    this.issuer = PermitIssuer.create(random);
    this.meters = context.meters();
  }

  /** Creates a desk whose ids nobody can guess. */
  public static PermitDesk create(DaemonContext context, PermitSettings settings) {
    return new PermitDesk(context, settings, new SecureRandom());
  }

  /**
   * A permit as a caller gets it. Immutable.
   *
   * @param permit what it permits
   * @param text the signed text for the header {@code X-Execution-Permit}
   */
  public record SignedPermit(ExecutionPermit permit, String text) {}

  /** Gives a batch of permits for owners that the caller was told to use; empty without a key. */
  public List<SignedPermit> issue(String account, List<Instance> owners) {
    List<SignedPermit> signed = new ArrayList<>();
    if (settings.signer().isEmpty()) {
      return signed;
    }
    long expiresAt = context.wallClock().millis() + settings.life().toMillis();
    var daemons = context.membership().get().daemons();
    for (ExecutionPermit permit :
        issuer.issue(account, owners, daemons, settings.batch(), expiresAt)) {
      signed.add(new SignedPermit(permit, settings.signer().get().sign(permit)));
    }
    return signed;
  }

  /**
   * Checks the text of a permit.
   *
   * @throws ServingException of kind {@code PERMIT_REJECTED}
   */
  public ExecutionPermit check(String text, String account) {
    if (settings.signer().isEmpty()) {
      throw rejected("no_key");
    }
    PermitVerification verdict = settings.signer().get().verify(text, account);
    return verdict
        .permit()
        .orElseThrow(() -> rejected(verdict.reason().name().toLowerCase(Locale.ROOT)));
  }

  private ServingException rejected(String reason) {
    meters.counter("heatherspread.permits.rejected", "reason", reason).increment();
    return ServingException.of(ErrorKind.PERMIT_REJECTED, "permit rejected: " + reason);
  }

  /**
   * Makes the id of a call that this daemon owns.
   *
   * @throws ServingException of kind {@code WITNESS_UNAVAILABLE} if no other daemon is alive
   */
  public RequestId ownId() {
    return issuer
        .requestId(context.self(), context.membership().get().daemons())
        .orElseThrow(
            () -> ServingException.of(ErrorKind.WITNESS_UNAVAILABLE, "no other daemon is alive"));
  }

  /** Makes the id of a call that may be repeated, which needs no witness. */
  public RequestId repeatableId() {
    return issuer.unwitnessedId(context.self());
  }
}
