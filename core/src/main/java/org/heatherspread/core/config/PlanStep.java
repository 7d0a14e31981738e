package org.heatherspread.core.config;

/**
 * One step of a plan, in the order in which the system will take them. Immutable.
 *
 * @param action what is done
 * @param subject the configuration path it is done to
 * @param detail a sentence for the operator
 */
public record PlanStep(Action action, String subject, String detail) {
  /** What a step does. */
  public enum Action {
    /** Writes the configuration. */
    CONFIGURE,
    /** Starts instances or orders endpoints to load something. */
    PROVISION,
    /** Lets requests in progress finish and sends no new ones. */
    DRAIN,
    /** Unloads from endpoints, or gives instances back. */
    RELEASE
  }
}
