package org.heatherspread.core.serving;

import java.util.Optional;

/**
 * A service that routes send requests to. Immutable.
 *
 * @param name name of the service
 * @param connectionLimit maximum number of connections that one endpoint accepts from all callers,
 *     0 for no limit
 * @param engine properties of the engines, present for model services
 * @param scaling autoscaling parameters, present if the service is autoscaled
 */
public record ServiceConfig(
    String name,
    int connectionLimit,
    Optional<EngineConfig> engine,
    Optional<ScalingConfig> scaling) {}
