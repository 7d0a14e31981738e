package org.heatherspread.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

  /** Copies the lists, where absent as empty, so that the record stays immutable. */
  public ServiceSpec {
    versions = versions == null ? List.of() : List.copyOf(versions);
    rules = rules == null ? List.of() : List.copyOf(rules);
    domains = domains == null ? List.of() : List.copyOf(domains);
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

  /** Finds a version by name. */
  public Optional<ModelVersion> version(String name) {
    for (ModelVersion version : versions) {
      if (version.version().equals(name)) {
        return Optional.of(version);
      }
    }
    return Optional.empty();
  }

  /** Returns a copy with a version added at the end, or replaced where the name is known. */
  public ServiceSpec withVersion(ModelVersion version) {
    List<ModelVersion> next = new ArrayList<>();
    boolean replaced = false;
    for (ModelVersion old : versions) {
      boolean same = old.version().equals(version.version());
      next.add(same ? version : old);
      replaced |= same;
    }
    if (!replaced) {
      next.add(version);
    }
    return new ServiceSpec(name, kind, target, next, rules, domains);
  }

  /** Returns a copy that also keeps its target in a failure domain. */
  public ServiceSpec withDomain(String domain) {
    if (domains.contains(domain)) {
      return this;
    }
    List<String> next = new ArrayList<>(domains);
    next.add(domain);
    return new ServiceSpec(name, kind, target, versions, rules, next);
  }

  /** Returns a copy that no longer keeps its target in a failure domain. */
  public ServiceSpec withoutDomain(String domain) {
    List<String> next = new ArrayList<>(domains);
    next.remove(domain);
    return new ServiceSpec(name, kind, target, versions, rules, next);
  }
}
