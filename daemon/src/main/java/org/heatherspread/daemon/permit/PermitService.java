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
 * Issues execution permits to callers, verifies the permits that callers present, and creates ids
 * for calls without a permit.
 *
 * <p>Immutable and thread-safe.
 */
public final class PermitService {
  private final DaemonContext context;
  private final PermitSettings settings;
  private final PermitIssuer issuer;
  private final MeterRegistry meters;

  private PermitService(DaemonContext context, PermitSettings settings, RandomGenerator random) {
    this.context = context;
    this.settings = settings;
    this.issuer = PermitIssuer.create(random);
    this.meters = context.meters();
  }

  /** Creates a service whose ids are unpredictable. */
  public static PermitService create(DaemonContext context, PermitSettings settings) {
    return new PermitService(context, settings, new SecureRandom());
  }

  /**
   * A signed permit, as returned to a caller. Immutable.
   *
   * @param permit the permit
   * @param token signed form for the header {@code X-Execution-Permit}
   */
  public record SignedPermit(ExecutionPermit permit, String token) {}

  /**
   * Issues a batch of permits for the owners that the caller was given; empty if no key is
   * configured.
   */
  public List<SignedPermit> issue(String account, List<Instance> owners) {
    List<SignedPermit> signedPermits = new ArrayList<>();
    if (settings.signer().isEmpty()) {
      return signedPermits;
    }
    long expiresAt = context.wallClock().millis() + settings.lifetime().toMillis();
    var daemons = context.membership().get().daemons();
    for (ExecutionPermit permit :
        issuer.issue(account, owners, daemons, settings.batchSize(), expiresAt)) {
      signedPermits.add(new SignedPermit(permit, settings.signer().get().sign(permit)));
    }
    return signedPermits;
  }

  /**
   * Verifies a signed permit.
   *
   * @throws ServingException of kind {@code PERMIT_REJECTED}
   */
  public ExecutionPermit verify(String token, String account) {
    if (settings.signer().isEmpty()) {
      throw rejection("no_key");
    }
    PermitVerification verification = settings.signer().get().verify(token, account);
    return verification
        .permit()
        .orElseThrow(() -> rejection(verification.reason().name().toLowerCase(Locale.ROOT)));
  }

  private ServingException rejection(String reason) {
    meters.counter("heatherspread.permits.rejected", "reason", reason).increment();
    return ServingException.of(ErrorKind.PERMIT_REJECTED, "permit rejected: " + reason);
  }

  /**
   * Creates the id of a call that this daemon owns.
   *
   * @throws ServingException of kind {@code WITNESS_UNAVAILABLE} if no other daemon is alive
   */
  public RequestId createRequestId() {
    return issuer
        .requestId(context.self(), context.membership().get().daemons())
        .orElseThrow(
            () -> ServingException.of(ErrorKind.WITNESS_UNAVAILABLE, "no other daemon is alive"));
  }

  /** Creates the id of a repeatable call, which needs no witness. */
  public RequestId createUnwitnessedId() {
    return issuer.unwitnessedId(context.self());
  }
}
