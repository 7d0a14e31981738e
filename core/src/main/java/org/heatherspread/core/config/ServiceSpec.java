package org.heatherspread.core.config;

import java.util.List;

/**
 * A service as operators confirmed it. Immutable.
 *
 * @param name the name callers use: the model's name, or the path of a plain service
 * @param kind how it is called
 * @param target the latency target
 * @param versions versions of a model service, newest last; empty for a plain service
 * @param rules which calls of a plain service may be repeated; without a match they may not
 * @param domains names of the failure domains in which the service is to keep its target
 */
public record ServiceSpec(
    String name,
    ServiceKind kind,
    LatencyTarget target,
    List<ModelVersion> versions,
    List<MethodRule> rules,
    List<String> domains) {

  /** Copies the lists, so that the record stays immutable. */
  public ServiceSpec {
    versions = List.copyOf(versions);
    rules = List.copyOf(rules);
    domains = List.copyOf(domains);
  }

  /** Tells whether a call that may have run may be sent again; unknown calls may not. */
  public boolean repeatable(String method, String path) {
    for (MethodRule rule : rules) {
      if (rule.matches(method, path)) {
        return rule.repeatable();
      }
    }
    return false;
  }
}
