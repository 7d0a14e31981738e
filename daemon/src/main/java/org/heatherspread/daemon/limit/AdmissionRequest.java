package org.heatherspread.daemon.limit;

import java.time.Duration;
import org.heatherspread.core.config.AccountSpec;

/**
 * The properties of a request that determine its admission. Immutable.
 *
 * @param account client account
 * @param service name of the service
 * @param promptTokens number of prompt tokens
 * @param maxTokens maximum number of answer tokens requested
 * @param priority requests of higher priority are preferred under overload
 * @param remaining time until the deadline
 */
public record AdmissionRequest(
    AccountSpec account,
    String service,
    long promptTokens,
    long maxTokens,
    int priority,
    Duration remaining) {}
