package org.heatherspread.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.heatherspread.core.limit.LimitOwnerClient;

/**
 * A client whose requests for admission are answered by a function, and those for release granted.
 *
 * @param decisions decision on each request for admission
 */
public record FixedOwnerClient(
    Function<AdmissionRequest, CompletableFuture<LimitOwnerClient.Decision>> decisions)
    implements LimitOwnerClient {
  /** A request for admission. */
  public record AdmissionRequest(String daemon, String account, double amount, double unreported) {}

  @Override
  public CompletableFuture<Decision> requestAdmission(
      String daemon, String account, double amount, double unreported) {
    return decisions.apply(new AdmissionRequest(daemon, account, amount, unreported));
  }

  @Override
  public CompletableFuture<Optional<String>> requestRelease(
      String daemon, String account, String newOwner) {
    return CompletableFuture.completedFuture(Optional.empty());
  }
}
