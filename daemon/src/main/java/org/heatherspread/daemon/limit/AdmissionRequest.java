package org.heatherspread.daemon.limit;

import java.time.Duration;
import org.heatherspread.core.config.AccountSpec;

/**
 * What admission is asked for. Immutable.
 *
 * @param account the client account
 * @param service name of the service
 * @param promptTokens tokens of the prompt
 * @param maxTokens answer tokens asked for
 * @param priority higher is served first
 * @param remaining time left until the deadline
 */
public record AdmissionRequest(
    AccountSpec account,
    String service,
    long promptTokens,
    long maxTokens,
    int priority,
    Duration remaining) {}
