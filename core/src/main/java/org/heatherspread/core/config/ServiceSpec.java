package org.heatherspread.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A service in the confirmed configuration. Immutable.
 *
 * @param name name that callers use: the model name, or the path of a plain service
 * @param kind kind of service
 * @param target latency target
 * @param versions versions of a model service, newest last; empty for a plain service
 * @param rules rules for repeating calls of a plain service; calls without a matching rule must not
 *     be repeated
 * @param domains names of the failure domains in which the service must meet its target
 */
public record ServiceSpec(
    String name,
    ServiceKind kind,
    LatencyTarget target,
    List<ModelVersion> versions,
    List<MethodRule> rules,
    List<String> domains) {

  /** Copies the lists, so that the record is immutable; null becomes an empty list. */
  public ServiceSpec {
    versions = versions == null ? List.of() : List.copyOf(versions);
    rules = rules == null ? List.of() : List.copyOf(rules);
    domains = domains == null ? List.of() : List.copyOf(domains);
  }

  /** Returns whether a call that may have run may be sent again; false if no rule matches. */
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

  /** Returns a copy with a version that is appended, or replaces the one of the same name. */
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

  /** Returns a copy with an additional failure domain. */
  public ServiceSpec withDomain(String domain) {
    if (domains.contains(domain)) {
      return this;
    }
    List<String> next = new ArrayList<>(domains);
    next.add(domain);
    return new ServiceSpec(name, kind, target, versions, rules, next);
  }

  /** Returns a copy without a failure domain. */
  public ServiceSpec withoutDomain(String domain) {
    List<String> next = new ArrayList<>(domains);
    next.remove(domain);
    return new ServiceSpec(name, kind, target, versions, rules, next);
  }
}
