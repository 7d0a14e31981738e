package org.heatherspread.core.limit;

import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/** Asks the daemons that keep limits. Confined to one thread, on which futures complete. */
@FunctionalInterface
public interface LimitOwnerClient {
  /**
   * Asks whether a request is within its account's limit, and counts it there if it is.
   *
   * @param daemon name of the daemon that keeps the limit
   * @param amount requests or tokens, as the account counts
   * @return fails where no answer came in time; the request may have been counted then
   */
  CompletableFuture<Decision> requestAdmission(String daemon, String account, double amount);

  /**
   * The answer of a daemon.
   *
   * @param keeps whether the daemon counts itself as the keeper; if not, nothing was decided
   * @param waitSeconds empty if admitted, else when the account has room again
   */
  record Decision(boolean decidedByOwner, OptionalDouble waitSeconds) {
    /** The answer of a daemon that does not keep the limit. */
    public static final Decision NOT_OWNER = new Decision(false, OptionalDouble.empty());
  }
}
