package org.heatherspread.core.config;

/**
 * Turns what the table service keeps into text and back.
 *
 * <p>Implementations are safe for use by any thread and throw {@link IllegalArgumentException} for
 * text that they cannot read.
 */
public interface ConfigurationFormat {
  /** Writes an entry of the log. */
  String writeEntry(LogEntry entry);

  /** Reads an entry of the log. */
  LogEntry readEntry(String text);

  /** Writes a plan. */
  String writePlan(Plan plan);

  /** Reads a plan. */
  Plan readPlan(String text);

  /** Writes a whole configuration. */
  String writeConfiguration(Configuration configuration);

  /** Reads a whole configuration. */
  Configuration readConfiguration(String text);
}
