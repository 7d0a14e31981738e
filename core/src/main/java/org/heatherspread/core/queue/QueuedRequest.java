package org.heatherspread.core.queue;

/**
 * What a queue has to know of a request. Immutable.
 *
 * @param urgency rank, 0 for the most urgent
 * @param account client account, empty if there is none
 * @param workMillis time of one endpoint that the request takes, at least 0
 * @param onTimeUntilMillis last time at which a dispatch can still meet the target
 * @param admittedUntilMillis time by which a dispatch must be expected for the request to be queued
 * @param heldUntilMillis time by which a dispatch must be expected for it to remain queued
 * @param beginByMillis last time at which the request can begin within its deadline
 */
public record QueuedRequest(
    int urgency,
    String account,
    double workMillis,
    long onTimeUntilMillis,
    long admittedUntilMillis,
    long heldUntilMillis,
    long beginByMillis) {
  /** Share of the target that even a request with much work of its own may wait on time. */
  private static final double MIN_WAIT_SHARE = 0.25;

  /**
   * Share of the target for which a request may be expected to wait when it is queued. It is the
   * same for all sizes: with a bound that leaves room for a request's own work, small requests
   * would keep the queue at a length at which large ones are always rejected.
   */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** Ratio of time to target up to which late requests are held; they are worth a tenth. */
  private static final double MAX_HELD_TARGETS = 2;

  /** Share of the target that is left for the imprecision of the expected time. */
  private static final double TARGET_RATIO = 0.95;

  /**
   * Creates a request whose times follow from its target and deadline.
   *
   * @param receivedAtMillis time at which the target and the deadline began
   * @param targetMillis target of the time to the first event or response, 0 for none
   * @param deadlineMillis time by which the response must begin
   * @param ownMillis expected time from the dispatch to the first event or response
   */
  public static QueuedRequest create(
      int urgency,
      String account,
      double workMillis,
      long receivedAtMillis,
      int targetMillis,
      long deadlineMillis,
      double ownMillis) {
    long beginBy = deadlineMillis - (long) Math.ceil(ownMillis);
    if (targetMillis <= 0) {
      return new QueuedRequest(urgency, account, workMillis, beginBy, beginBy, beginBy, beginBy);
    }
    double slack = Math.max(TARGET_RATIO * targetMillis - ownMillis, MIN_WAIT_SHARE * targetMillis);
    long onTimeUntil = Math.min(beginBy, receivedAtMillis + (long) slack);
    long admittedUntil = receivedAtMillis + (long) (MAX_WAIT_SHARE * targetMillis);
    long heldUntil = receivedAtMillis + (long) (MAX_HELD_TARGETS * targetMillis);
    return new QueuedRequest(
        urgency,
        account,
        workMillis,
        onTimeUntil,
        Math.min(beginBy, admittedUntil),
        Math.min(beginBy, heldUntil),
        beginBy);
  }
}
