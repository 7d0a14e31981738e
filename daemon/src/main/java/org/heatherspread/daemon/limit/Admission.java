package org.heatherspread.daemon.limit;

/**
 * Decides whether a request may enter, by the limits of its client account and the load.
 *
 * <p>Implementations are safe for use by any thread and do not block.
 */
@FunctionalInterface
public interface Admission {
  /**
   * Admits a request.
   *
   * @throws org.heatherspread.core.error.ServingException with {@code ACCOUNT_LIMIT}, {@code
   *     OVERLOADED} or {@code DEADLINE_UNREACHABLE} and the time to come back
   */
  Grant admit(AdmissionRequest request);

  /** What an admitted request holds until it ends. */
  @FunctionalInterface
  interface Grant {
    /**
     * Gives the grant back; later calls change nothing.
     *
     * @param answerTokens answer tokens that were produced
     */
    void release(long answerTokens);
  }
}
