package org.heatherspread.core.config;

/**
 * Converts the objects stored in the table service to and from text.
 *
 * <p>Implementations are thread-safe. The read methods throw {@link IllegalArgumentException} if
 * the text is malformed.
 */
public interface ConfigurationFormat {
  /** Writes a log entry. */
  String writeEntry(LogEntry entry);

  /** Reads a log entry. */
  LogEntry readEntry(String text);

  /** Writes a plan. */
  String writePlan(Plan plan);

  /** Reads a plan. */
  Plan readPlan(String text);

  /** Writes a configuration. */
  String writeConfiguration(Configuration configuration);

  /** Reads a configuration. */
  Configuration readConfiguration(String text);
}
