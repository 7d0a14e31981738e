package org.heatherspread.daemon.limit;

/**
 * Admits or refuses requests by the limits of their client account and the load of the endpoints.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface Admission {
  /**
   * Admits a request.
   *
   * @throws org.heatherspread.core.error.ServingException with {@code ACCOUNT_LIMIT}, {@code
   *     OVERLOADED} or {@code DEADLINE_UNREACHABLE}, and the time after which to retry
   */
  Grant admit(AdmissionRequest request);

  /** The resources that an admitted request occupies until it is released. Thread-safe. */
  @FunctionalInterface
  interface Grant {
    /**
     * Releases the grant. Calls after the first have no effect.
     *
     * @param answerTokens number of answer tokens generated
     */
    void release(long answerTokens);
  }
}
