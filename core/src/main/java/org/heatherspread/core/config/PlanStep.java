package org.heatherspread.core.config;

/**
 * One step of a plan. Immutable.
 *
 * @param action kind of step
 * @param subject path of the configuration that the step concerns
 * @param detail description for the operator
 */
public record PlanStep(Action action, String subject, String detail) {
  /** Kind of step. */
  public enum Action {
    /** Writes the configuration. */
    CONFIGURE,
    /** Starts instances or orders endpoints to load a model version. */
    PROVISION,
    /** Stops sending new requests and lets those in progress finish. */
    DRAIN,
    /** Unloads a model version from endpoints, or releases instances. */
    RELEASE
  }
}
