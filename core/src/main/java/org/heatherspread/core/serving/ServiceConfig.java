package org.heatherspread.core.serving;

import java.util.Optional;

/**
 * A service of the confirmed configuration.
 *
 * @param connectionLimit connections that one endpoint accepts from all callers, 0 for no limit
 * @param engine present for model services
 * @param scaling present where endpoints are ordered
 */
public record ServiceConfig(
    String name,
    int connectionLimit,
    Optional<EngineConfig> engine,
    Optional<ScalingConfig> scaling) {}
