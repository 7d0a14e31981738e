package org.heatherspread.relay.call;

import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.stream.EventSequence;
import org.heatherspread.relay.caller.CallerRequest;

/**
 * A request with its route, account and limits, as determined before the first attempt.
 *
 * @param id id of the caller's attempt, empty if absent
 * @param service service selected for the request
 * @param account name of the client account, empty if the route requires no key
 * @param suspects what may crash endpoints in the request
 * @param work expected work, with the typical answer length of the route
 * @param declaredTokens prompt tokens and maximum answer tokens, 0 if not declared
 * @param urgency priority, 0 is the most urgent
 * @param deadlineMillis end of the time allowed by the caller and the route, on the monotonic clock
 * @param callerDeadlineMillis end of the time for which the caller waits, on the monotonic clock;
 *     {@code Long.MAX_VALUE} if the caller did not tell
 * @param resumeAfter id of the last event that the caller has of a stream that it resumes, -1 for
 *     other requests
 * @param configVersion version of the configuration that was applied
 * @param forwardedBy name of the daemon that has admitted and forwarded the request, empty if it is
 *     from a caller
 * @param maxAttempts maximum number of endpoints to which the request may be sent
 */
record CallContext(
    String id,
    CallerRequest request,
    Route route,
    String service,
    String account,
    CallSuspects suspects,
    Workload work,
    int declaredTokens,
    int urgency,
    long deadlineMillis,
    long callerDeadlineMillis,
    long resumeAfter,
    long configVersion,
    String forwardedBy,
    int maxAttempts) {
  /** Returns the same request for another service of its route. */
  CallContext withService(String other) {
    return new CallContext(
        id,
        request,
        route,
        other,
        account,
        suspects,
        work,
        declaredTokens,
        urgency,
        deadlineMillis,
        callerDeadlineMillis,
        resumeAfter,
        configVersion,
        forwardedBy,
        maxAttempts);
  }

  /** Returns whether another daemon has admitted the request and counts it. */
  boolean isForwarded() {
    return !forwardedBy.isEmpty();
  }

  /** Returns the position of the caller in the stream before the first attempt. */
  EventSequence events() {
    return resumeAfter < 0 ? EventSequence.fromBeginning() : EventSequence.after(resumeAfter);
  }
}
