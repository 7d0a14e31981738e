package org.heatherspread.relay.call;

import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.Route;
import org.heatherspread.relay.caller.CallerRequest;

/**
 * What is known of a request before it is sent anywhere.
 *
 * @param id the caller's id of this attempt, empty if it gave none
 * @param service the service that runs it
 * @param account name of the client account, empty where the route needs no key
 * @param work the work expected, with the answer as long as usual on this route
 * @param statedTokens prompt tokens and most answer tokens, 0 where none are stated
 * @param urgency rank, 0 for the most urgent
 * @param endsAtMillis when the caller's time or the route's is over, on the monotonic clock
 * @param configVersion the configuration that decided all this
 */
record CallContext(
    String id,
    CallerRequest request,
    Route route,
    String service,
    String account,
    Workload work,
    int declaredTokens,
    int urgency,
    long deadlineMillis,
    long configVersion) {}
