package org.heatherspread.core.limit;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * Requests admission from the daemons that own limits, and the release of these limits. Confined to
 * one thread, on which the returned futures complete.
 */
public interface LimitOwnerClient {
  /**
   * Requests admission under a limit; the owner charges the amount if it admits.
   *
   * @param daemon name of the limit owner
   * @param request the request; the limit has the unit of its amount, which is 0 if only the
   *     unreported amount is to be charged
   * @param unreported amount that this daemon admitted without the owner, which the owner charges
   *     in addition
   * @return fails if no reply arrives in time; the amounts may have been charged nevertheless
   */
  CompletableFuture<Decision> requestAdmission(
      String daemon, RateLimit limit, LimitRequest request, double unreported);

  /**
   * Asks a daemon to release a limit.
   *
   * @param daemon the previous owner
   * @param newOwner the daemon that decides from now on
   * @return the daemon that holds the limit instead; empty if the daemon has released the limit or
   *     knows of no other holder. Fails if no reply arrives in time; the limit may have been
   *     released nevertheless
   */
  CompletableFuture<Optional<String>> requestRelease(String daemon, String limit, String newOwner);

  /**
   * The reply of a daemon to a request for admission.
   *
   * @param decidedByOwner whether the daemon is the limit owner by its own view; if not, it decided
   *     nothing
   * @param waitSeconds empty if admitted, else the time until the limit admits again
   * @param claimed whether the owner keeps tokens for the request until it returns after the wait;
   *     false from daemons of earlier versions
   * @param owner the owner by the view of a daemon that did not decide; empty if it knows none
   * @param ample whether enough is left for daemons to admit requests in advance; false from
   *     daemons of earlier versions
   */
  record Decision(
      boolean decidedByOwner,
      OptionalDouble waitSeconds,
      boolean claimed,
      Optional<String> owner,
      boolean ample) {
    /** Creates a decision after which nothing may be admitted in advance. */
    public Decision(
        boolean decidedByOwner,
        OptionalDouble waitSeconds,
        boolean claimed,
        Optional<String> owner) {
      this(decidedByOwner, waitSeconds, claimed, owner, false);
    }

    /** Returns the reply of the limit owner, which keeps no tokens. */
    public static Decision decided(OptionalDouble waitSeconds) {
      return new Decision(true, waitSeconds, false, Optional.empty());
    }

    /**
     * Returns the reply of the limit owner.
     *
     * @param ample whether enough is left for daemons to admit requests in advance
     */
    public static Decision decided(SpendingDecision decision, boolean ample) {
      return new Decision(
          true, decision.waitSeconds(), decision.claimed(), Optional.empty(), ample);
    }

    /** Returns the reply of a daemon that does not own the limit. */
    public static Decision declined(Optional<String> owner) {
      return new Decision(false, OptionalDouble.empty(), false, owner);
    }
  }
}
